#include "deadline.hpp"

namespace monsoondock::peer::pvt {

deadline::deadline(
    const boost::asio::any_io_executor& executor,
    const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
    std::chrono::milliseconds timeout)
    : timer_(executor, timeout), expired_(std::make_shared<bool>(false))
{
    const std::weak_ptr<boost::asio::ip::tcp::socket> weak_socket = socket;
    timer_.async_wait([weak_socket, expired = expired_](const auto& failure) {
        const auto open_socket = weak_socket.lock();
        if (failure || open_socket == nullptr)
            return;
        *expired = true;
        boost::system::error_code ignored;
        open_socket->close(ignored);
    });
}

} // namespace monsoondock::peer::pvt
