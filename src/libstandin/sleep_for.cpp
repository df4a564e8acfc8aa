#include <monsoondock/standin/no_throw.hpp>
#include <monsoondock/standin/sleep_for.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace monsoondock::standin {

boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds length)
{
    if (length.count() == 0)
        co_return;
    boost::asio::steady_timer timer(
        co_await boost::asio::this_coro::executor, length);
    co_await timer.async_wait(NO_THROW);
}

} // namespace monsoondock::standin
