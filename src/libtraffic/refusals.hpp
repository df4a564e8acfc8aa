#pragma once

#include <monsoondock/traffic/refusal.hpp>

#include <chrono>
#include <string>

namespace monsoondock::traffic::pvt {

/// Returns a refusal of a request that can never succeed unchanged.
refusal bad_request(
    boost::beast::http::status status, std::string type, std::string detail);


/// Returns a refusal because no upstream is available.
refusal no_upstream(run_state run, std::string detail);


/// Returns a refusal because the workspace exceeded its request rate; the
/// caller may retry after the given delay.
refusal request_rate_exceeded(std::chrono::milliseconds retry_after);


/// Returns a refusal because the daemon is about to exit.
refusal stopping(run_state run);


/// Returns a refusal because the caller's deadline passed.
refusal deadline_passed(run_state run);

} // namespace monsoondock::traffic::pvt
