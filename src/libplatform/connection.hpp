#pragma once

#include <monsoondock/platform/store_dialect.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <variant>

namespace monsoondock::platform::pvt {

/// The connection could not be opened, so nothing was sent.
struct connect_failed
{
    std::string reason_;
};


/// The request may have been sent, but no complete response was received.
struct exchange_failed
{
    std::string reason_;
};

/// Result of one HTTP request.
using exchange_result =
    std::variant<http_response, connect_failed, exchange_failed>;


/// Maximum number of bytes received from the platform that are not parsed yet.
inline constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;


/// Connection to the platform, reused for consecutive requests.
struct connection
{
    explicit connection(boost::asio::any_io_executor executor)
        : stream_(std::move(executor))
    {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_{max_unparsed_bytes};
};


/// Connects c to address within timeout. Returns the reason for a failure, or
/// an empty string on success.
boost::asio::awaitable<std::string> open(
    connection& c,
    boost::asio::ip::tcp::endpoint address,
    std::chrono::milliseconds timeout);


/// Returns true when the connection has no unread bytes, which could not belong
/// to the response of a later request.
bool is_reusable(connection& c);


/// Sends request on an open connection and reads the complete response, both
/// within timeout.
boost::asio::awaitable<exchange_result> exchange(
    connection& c, http_request request, std::chrono::milliseconds timeout);

} // namespace monsoondock::platform::pvt
