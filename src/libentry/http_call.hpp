#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace monsoondock::entry::pvt {

/// HTTP paths that daemons serve to each other at their peer addresses.
inline constexpr const char* settings_path = "/settings";
inline constexpr const char* hosts_path = "/hosts";


/// Why an HTTP call failed.
enum class call_failure
{
    /// The connection was refused, so no process listens at the address.
    refused,
    /// The connection failed otherwise or timed out.
    unreachable,
    /// The connection was established, but no complete response arrived in
    /// time. The receiver may have processed the request.
    unanswered
};

using call_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using call_response =
    boost::beast::http::response<boost::beast::http::string_body>;
using call_result = std::variant<call_response, call_failure>;


/// Sends a request on a new connection and waits for the response.
/// connect_timeout limits the time to connect, response_timeout the time from
/// then to the complete response.
boost::asio::awaitable<call_result> send_request(
    boost::asio::io_context& context,
    boost::asio::ip::tcp::endpoint address,
    call_request request,
    std::chrono::milliseconds connect_timeout,
    std::chrono::milliseconds response_timeout);


/// Sends a GET request to a peer and returns the body of the response, or
/// nothing when the call fails or the status is not 200. The timeout applies
/// to the connection and to the response separately.
boost::asio::awaitable<std::optional<std::string>> http_get(
    boost::asio::io_context& context,
    boost::asio::ip::tcp::endpoint address,
    std::string target,
    std::chrono::milliseconds timeout);


/// Returns true when the address accepts a TCP connection in time. The
/// connection is closed at once.
boost::asio::awaitable<bool> can_connect(
    boost::asio::io_context& context,
    boost::asio::ip::tcp::endpoint address,
    std::chrono::milliseconds timeout);

} // namespace monsoondock::entry::pvt
