#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace monsoondock::standin {

/// HTTP request with its whole body.
using request = boost::beast::http::request<boost::beast::http::string_body>;


/// One request of a caller and the connection that its answer goes to.
struct exchange
{
    boost::asio::ip::tcp::socket& socket_;
    request request_;
    /// True while the connection can carry a further request.
    bool keep_alive_ = true;
};


/// Returns the value of a request header, empty when it is missing.
std::string header(const exchange& e, std::string_view name);


/// Returns the path of the request, percent-decoded, without the query.
std::string path(const exchange& e);


/// Returns a parameter of the query, percent-decoded, empty when missing.
std::string parameter(const exchange& e, std::string_view name);


/// Returns text as a number, or fallback when it is not one.
std::uint64_t number_or(std::string_view text, std::uint64_t fallback);


/// Sends an answer with a JSON body.
boost::asio::awaitable<void>
reply(exchange& e, boost::beast::http::status status, std::string json);


/// Sends an answer with a JSON body.
boost::asio::awaitable<void> reply(
    exchange& e,
    boost::beast::http::status status,
    const boost::json::value& body);


/// Sends the head of an answer and only the first bytes of its body, then
/// closes the connection.
boost::asio::awaitable<void>
reply_truncated(exchange& e, const std::string& json, std::size_t bytes);


/// Closes the connection without an answer.
void drop(exchange& e);


/// Completes when the caller closes the connection.
boost::asio::awaitable<void> wait_for_disconnect(exchange& e);

} // namespace monsoondock::standin
