#include "confirm_end.hpp"

#include "upstream_connection.hpp"

#include <monsoondock/base/find_response.hpp>

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
    const auto connection = co_await connect_upstream(host, connect_timeout);
    end.host_ = connection != nullptr ? base::host_check::accepts
                                      : base::host_check::gone;
    co_return end;
}

} // namespace monsoondock::traffic::pvt
