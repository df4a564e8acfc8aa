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


/// The request may have been sent, but no whole answer came.
struct exchange_failed
{
    std::string reason_;
};

/// Every way in which one call over HTTP can end.
using exchange_result =
    std::variant<http_response, connect_failed, exchange_failed>;


/// One connection to the platform, reused for consecutive calls.
struct connection
{
    explicit connection(boost::asio::any_io_executor executor)
        : stream_(std::move(executor))
    {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
};


/// Opens c to address within timeout. Returns the reason of a failure, or an
/// empty text.
boost::asio::awaitable<std::string> open(
    connection& c,
    boost::asio::ip::tcp::endpoint address,
    std::chrono::milliseconds timeout);


/// Sends request on an open connection and reads the whole answer, all within
/// timeout.
boost::asio::awaitable<exchange_result> exchange(
    connection& c, http_request request, std::chrono::milliseconds timeout);

} // namespace monsoondock::platform::pvt
