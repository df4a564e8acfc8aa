#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace monsoondock::standin {

/// HTTP request with its complete body.
using request = boost::beast::http::request<boost::beast::http::string_body>;


/// HTTP request and the connection on which to send the response.
struct exchange
{
    boost::asio::ip::tcp::socket& socket_;
    request request_;
    /// True while the connection can be reused for another request.
    bool keep_alive_ = true;
    /// Further header fields of the response.
    boost::beast::http::fields response_fields_{};
};


/// Returns the value of a request header; empty when it is missing.
std::string header(const exchange& e, std::string_view name);


/// Returns the percent-decoded path of the request, without the query.
std::string path(const exchange& e);


/// Returns a percent-decoded query parameter; empty when it is missing.
std::string parameter(const exchange& e, std::string_view name);


/// Parses text as a decimal number; returns fallback when it is not one.
std::uint64_t number_or(std::string_view text, std::uint64_t fallback);


/// Sends a response with a JSON body.
boost::asio::awaitable<void>
reply(exchange& e, boost::beast::http::status status, std::string json);


/// Sends a response with a JSON body.
boost::asio::awaitable<void> reply(
    exchange& e,
    boost::beast::http::status status,
    const boost::json::value& body);


/// Sends the headers of a response and only the first bytes of its body, then
/// closes the connection.
boost::asio::awaitable<void>
reply_truncated(exchange& e, const std::string& json, std::size_t bytes);


/// Sends text as it is in place of a response.
boost::asio::awaitable<void> reply_raw(exchange& e, std::string text);


/// Closes the connection without a response.
void drop(exchange& e);


/// Completes when the caller closes the connection.
boost::asio::awaitable<void> wait_for_disconnect(exchange& e);

} // namespace monsoondock::standin
