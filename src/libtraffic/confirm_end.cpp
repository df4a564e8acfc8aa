#include "confirm_end.hpp"

#include "upstream_connection.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/find_response.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;

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
    end.host_ = base::host_check::gone;
    const auto connection = co_await connect_upstream(host, connect_timeout);
    if (connection == nullptr)
        co_return end;
    asio::steady_timer timer(
        co_await asio::this_coro::executor, base::host_check_time);
    co_await timer.async_wait(base::await_tuple);
    if (is_reusable(*connection))
        end.host_ = base::host_check::accepts;
    co_return end;
}

} // namespace monsoondock::traffic::pvt
