#include "confirm_end.hpp"

#include "upstream_connection.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/find_response.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;

namespace {

asio::awaitable<boost::system::error_code> connect(
    upstream_connection& connection,
    asio::ip::tcp::endpoint host,
    std::chrono::milliseconds timeout)
{
    connection.stream_.expires_after(timeout);
    const auto [failure] =
        co_await connection.stream_.async_connect(host, base::await_tuple);
    co_return failure;
}


// Returns true when the listener of the host is open. A host that has as many
// connections as it accepts resets further ones, but does not refuse them.
asio::awaitable<bool> is_listening(
    asio::ip::tcp::endpoint host, std::chrono::milliseconds connect_timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    upstream_connection first(executor);
    const boost::system::error_code failure =
        co_await connect(first, host, connect_timeout);
    if (failure && failure != asio::error::connection_reset)
        co_return false;
    if (!failure) {
        asio::steady_timer timer(executor, base::host_check_time);
        co_await timer.async_wait(base::await_tuple);
        if (is_reusable(first))
            co_return true;
    }
    upstream_connection second(executor);
    const boost::system::error_code further =
        co_await connect(second, host, connect_timeout);
    co_return !further || further == asio::error::connection_reset;
}

} // namespace

base::body_end end_of_body(base::body_framing framing, std::string_view body)
{
    base::body_end end;
    end.framing_ = framing;
    end.as_framed_ = true;
    end.second_response_ =
        framing == base::body_framing::connection_close &&
        base::find_response(body, "X-Request-Id") != std::string_view::npos;
    return end;
}


asio::awaitable<base::body_end> confirm_end(
    base::body_end end,
    asio::ip::tcp::endpoint host,
    std::chrono::milliseconds connect_timeout)
{
    if (base::judge(end) != base::end_verdict::unconfirmed)
        co_return end;
    const bool listening = co_await is_listening(host, connect_timeout);
    end.host_ = listening ? base::host_check::accepts : base::host_check::gone;
    co_return end;
}

} // namespace monsoondock::traffic::pvt
