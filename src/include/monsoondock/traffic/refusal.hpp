#pragma once

#include <monsoondock/traffic/run_state.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace monsoondock::traffic {

/// Error response that tells the caller why its request was not served.
struct refusal
{
    boost::beast::http::status status_ =
        boost::beast::http::status::service_unavailable;
    /// Stable short name, such as "unknown_model"; also the label in metrics.
    std::string type_;
    /// Human-readable explanation.
    std::string detail_;
    run_state run_ = run_state::unsent;
    /// Delay before a retry; empty when a retry can't succeed.
    std::optional<std::chrono::milliseconds> retry_after_;
    /// Like run_, for all attempts with the same Idempotency-Key together.
    std::optional<run_state> key_run_ = std::nullopt;
};

/// Response with a body held in memory.
using buffered_response =
    boost::beast::http::response<boost::beast::http::string_body>;


/// Returns the problem JSON (RFC 9457) of a refusal.
buffered_response to_response(const refusal& r);

} // namespace monsoondock::traffic
