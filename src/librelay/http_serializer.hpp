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


/// Values of header fields that the proxy sets for one try.
struct forwarding_fields
{
    base::host_id target_;
    std::chrono::milliseconds time_left_{0};
    /// Event after which a stream is resumed; empty to start from the
    /// beginning.
    std::string last_event_id_;
};


/// Marks a response as the refusal of the daemon to which a request was passed
/// on. No other response from a daemon has it.
inline constexpr std::string_view detour_refused_field =
    "Monsoondock-Detour-Refused";


/// Appends a header field.
void append_field(
    std::string& text, std::string_view name, std::string_view value);


/// Returns the beginning of a request to be forwarded: the request line and the
/// caller's end-to-end header fields but its key and those that the proxy sets,
/// the remaining time, and the last event received.
std::string make_request_head(
    const exchange& e,
    const header_names& names,
    const forwarding_fields& fields);


/// Appends the length of the body and the end of the header to the head of a
/// request. The body follows as it is.
std::string finish_request(std::string head, const exchange& e);


/// Serializes the header of the request for an upstream: the caller's method,
/// target and end-to-end header fields, and those that the proxy sets.
std::string serialize_upstream_request(
    const exchange& e,
    const header_names& names,
    const forwarding_fields& fields);


/// Serializes the status line and header of a complete response of an upstream
/// for the caller; the body follows as it is.
std::string
serialize_response_header(const http_response& response, bool keep_alive);


/// Serializes the status line and header of a streamed response, whose body
/// follows in chunks or, if not chunked, ends with the connection.
std::string serialize_stream_header(
    const http_response& response, bool keep_alive, bool chunked);


/// Serializes one chunk of a streamed response.
std::string serialize_chunk(std::string_view bytes);

/// Terminates the body of a streamed response.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";


/// Response that the proxy itself generates.
struct local_response
{
    boost::beast::http::status status_;
    /// Error code in the body and in logs.
    std::string_view reason_;
    /// Time after which the caller may retry.
    std::optional<std::chrono::milliseconds> retry_after_;
    /// Tells the daemon that passed the request on that this one has refused it
    /// and sent it to no upstream.
    bool refuses_detour_ = false;
};


/// Serializes a response that the proxy itself generates.
std::string serialize_local_response(
    const local_response& response,
    const header_names& names,
    std::string_view request_id,
    bool keep_alive);

} // namespace monsoondock::relay::pvt
