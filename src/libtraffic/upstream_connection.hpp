#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>

namespace monsoondock::traffic::pvt {

/// One connection to an upstream. It carries one exchange at a time and goes
/// back to the pool only after a whole answer.
struct upstream_connection
{
    explicit upstream_connection(const boost::asio::any_io_executor& executor)
        : stream_(executor)
    {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    /// True when it has carried an exchange before.
    bool reused_ = false;
};


/// Opens a connection to address. Returns null when that fails or takes
/// longer than timeout.
boost::asio::awaitable<std::unique_ptr<upstream_connection>> connect_upstream(
    boost::asio::ip::tcp::endpoint address, std::chrono::milliseconds timeout);


/// Returns true when nothing came on an idle connection and the upstream has
/// not closed it: what comes unasked belongs to no request of ours.
bool is_quiet(upstream_connection& c);

} // namespace monsoondock::traffic::pvt
