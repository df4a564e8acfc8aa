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

/// Pages that daemons serve each other at their peer addresses.
inline constexpr const char* settings_page = "/settings";
inline constexpr const char* hosts_page = "/hosts";


/// How a short call by HTTP ended without an answer.
enum class call_failure
{
    /// The address refused the connection: no process listens there.
    refused,
    /// No connection came about in time.
    unreachable,
    /// The call was sent, and no whole answer came in time.
    unanswered
};

using short_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using short_response =
    boost::beast::http::response<boost::beast::http::string_body>;
using call_result = std::variant<short_response, call_failure>;


/// Sends one request on a connection of its own. connect_time bounds the
/// connection, total_time the whole call.
boost::asio::awaitable<call_result> call_once(
    boost::asio::io_context& context,
    boost::asio::ip::tcp::endpoint address,
    short_request request,
    std::chrono::milliseconds connect_time,
    std::chrono::milliseconds total_time);


/// Reads a page. Returns nothing unless the answer has status 200.
boost::asio::awaitable<std::optional<std::string>> get_page(
    boost::asio::io_context& context,
    boost::asio::ip::tcp::endpoint address,
    std::string target,
    std::chrono::milliseconds timeout);


/// Opens and closes a connection. Returns true when the address accepted it.
boost::asio::awaitable<bool> accepts_connections(
    boost::asio::io_context& context,
    boost::asio::ip::tcp::endpoint address,
    std::chrono::milliseconds timeout);

} // namespace monsoondock::entry::pvt
