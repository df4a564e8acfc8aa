#pragma once

#include <monsoondock/traffic/refusal.hpp>

#include <chrono>
#include <string>

namespace monsoondock::traffic::pvt {

/// Returns a refusal of a request that can never succeed as it is.
refusal bad_request(
    boost::beast::http::status status, std::string type, std::string detail);


/// Returns a refusal because nothing can take the request now.
refusal no_upstream(run_state run, std::string detail);


/// Returns a refusal because the workspace is at its request rate, which
/// admits again at the time given.
refusal request_rate_exceeded(std::chrono::milliseconds retry_after);


/// Returns a refusal because the caller's deadline passed.
refusal deadline_passed(run_state run);

} // namespace monsoondock::traffic::pvt
