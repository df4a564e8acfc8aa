#pragma once

#include <monsoondock/traffic/run_state.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace monsoondock::traffic {

/// An answer that tells the caller why its request was not served.
struct refusal
{
    boost::beast::http::status status_ =
        boost::beast::http::status::service_unavailable;
    /// Stable short name, such as "unknown_model"; also the label in metrics.
    std::string type_;
    /// Sentence for a person.
    std::string detail_;
    run_state run_ = run_state::unsent;
    /// When the caller may try again; nothing when it never helps.
    std::optional<std::chrono::milliseconds> retry_after_;
    /// The same as run_, of all attempts with the caller's Idempotency-Key.
    std::optional<run_state> key_run_ = std::nullopt;
};

/// Response with a body held in memory.
using buffered_response =
    boost::beast::http::response<boost::beast::http::string_body>;


/// Returns the problem JSON (RFC 9457) of a refusal.
buffered_response to_response(const refusal& r);

} // namespace monsoondock::traffic
