#pragma once

#include "exchange.hpp"

#include <monsoondock/relay/header_names.hpp>

#include <boost/beast/http/status.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::relay::pvt {

using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;


/// What a request is sent with beside the caller's own header fields.
struct send_fields
{
    base::host_id target_;
    std::chrono::milliseconds time_left_{0};
    /// Event after which a stream goes on; empty for a stream from its start.
    std::string last_event_id_;
};


/// Returns the bytes of the request for an upstream: the caller's method,
/// target, body and end-to-end header fields, and the relay's own ones.
std::string upstream_request(
    const exchange& e, const header_names& names, const send_fields& fields);


/// Returns the bytes of an upstream's whole answer for the caller.
std::string caller_answer(const http_response& answer, bool keep_open);


/// Returns the head of a streamed answer, whose body follows in chunks.
std::string stream_head(const http_response& answer, bool keep_open);


/// Returns one chunk of a streamed answer.
std::string stream_chunk(std::string_view bytes);

/// Ends a streamed answer as complete.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";


/// What the relay itself tells a caller.
struct own_answer
{
    boost::beast::http::status status_;
    /// Names the reason in the body and in logs.
    std::string_view reason_;
    /// When the caller may come again.
    std::optional<std::chrono::milliseconds> retry_after_;
};


/// Returns the bytes of an answer of the relay's own.
std::string own_answer_text(
    const own_answer& answer,
    const header_names& names,
    std::string_view request_id,
    bool keep_open);

} // namespace monsoondock::relay::pvt
