#include "upstream_connection.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/this_coro.hpp>

#include <cerrno>
#include <sys/socket.h>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;

asio::awaitable<std::unique_ptr<upstream_connection>> connect_upstream(
    asio::ip::tcp::endpoint address, std::chrono::milliseconds timeout)
{
    auto c = std::make_unique<upstream_connection>(
        co_await asio::this_coro::executor);
    c->stream_.expires_after(timeout);
    const auto [failure] =
        co_await c->stream_.async_connect(address, base::await_tuple);
    if (failure)
        co_return nullptr;
    boost::system::error_code ignored;
    c->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return c;
}


bool is_reusable(upstream_connection& c)
{
    if (c.buffer_.size() > 0)
        return false;
    char byte = 0;
    const auto received = ::recv(
        c.stream_.socket().native_handle(),
        &byte,
        sizeof(byte),
        MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace monsoondock::traffic::pvt
