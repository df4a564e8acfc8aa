#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace monsoondock::peer::pvt {

/// Closes a socket when a time has passed, which ends the operation that
/// waits on it. Destruction ends the watch.
class deadline
{
public:
    deadline(
        const boost::asio::any_io_executor& executor,
        const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
        std::chrono::milliseconds length);


    /// Returns true when the time passed before the destruction.
    bool passed() const noexcept
    {
        return *passed_;
    }

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<bool> passed_;
};

} // namespace monsoondock::peer::pvt
