#include "caller_link.hpp"

#include "peek_socket.hpp"

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

void watch_caller(const std::shared_ptr<caller_link>& link)
{
    if (link->watching_ || link->left_)
        return;
    link->watching_ = true;
    link->socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [link](const boost::system::error_code& failure) {
            link->watching_ = false;
            if (failure || peek_socket(link->socket_) != socket_content::end)
                return;
            link->left_ = true;
            if (const auto act = std::exchange(link->on_left_, nullptr))
                act();
        });
}

} // namespace monsoondock::relay::pvt
