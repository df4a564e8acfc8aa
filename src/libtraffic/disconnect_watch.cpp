#include "disconnect_watch.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <array>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;

asio::awaitable<void> wait_for_disconnect(caller_connection& caller)
{
    auto& socket = caller.stream_.socket();
    const auto [failure] = co_await socket.async_wait(
        asio::ip::tcp::socket::wait_read, base::await_tuple);
    if (failure)
        co_return;
    std::array<char, 1> byte{};
    boost::system::error_code peek_failure;
    socket.receive(
        asio::buffer(byte), asio::ip::tcp::socket::message_peek, peek_failure);
    if (peek_failure)
        co_return;
    // The caller has pipelined its next request, so a disconnect can now be
    // detected only by a failed write.
    asio::steady_timer forever(co_await asio::this_coro::executor);
    forever.expires_at(asio::steady_timer::time_point::max());
    co_await forever.async_wait(base::await_tuple);
}

} // namespace monsoondock::traffic::pvt
