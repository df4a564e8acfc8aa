#include "caller_link.hpp"

#include <cerrno>
#include <sys/socket.h>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

namespace {

bool has_left(caller_link& link)
{
    char byte = 0;
    const auto received = ::recv(
        link.socket_.native_handle(),
        &byte,
        sizeof(byte),
        MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        return false;
    return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

void watch_caller(const std::shared_ptr<caller_link>& link)
{
    if (link->watching_ || link->left_)
        return;
    link->watching_ = true;
    link->socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [link](const boost::system::error_code& failure) {
            link->watching_ = false;
            if (failure || !has_left(*link))
                return;
            link->left_ = true;
            if (const auto act = std::exchange(link->on_left_, nullptr))
                act();
        });
}

} // namespace monsoondock::relay::pvt
