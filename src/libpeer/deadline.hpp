#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace monsoondock::peer::pvt {

/// Timeout for the operations on a socket: closes the socket on expiry, which
/// aborts the pending operation. The destructor cancels the timeout.
class deadline
{
public:
    deadline(
        const boost::asio::any_io_executor& executor,
        const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
        std::chrono::milliseconds timeout);


    /// Returns true if the timeout expired and the socket was closed.
    bool expired() const noexcept
    {
        return *expired_;
    }

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<bool> expired_;
};

} // namespace monsoondock::peer::pvt
