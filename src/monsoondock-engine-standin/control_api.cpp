#include "control_api.hpp"

#include <boost/json/parse.hpp>

namespace monsoondock::engine_standin {

namespace asio = boost::asio;
using boost::beast::http::status;
using standin::exchange;
using standin::reply;

namespace {

void update_dead(engine_host& h, const boost::json::object& body)
{
    const auto* dead = body.if_contains("dead");
    if (!dead)
        return;
    if (dead->as_bool())
        crash_host(h);
    else
        h.server_.dead_ = false;
}


void update_pause(engine_host& h, const boost::json::object& body)
{
    const auto* pause = body.if_contains("pause_ms");
    if (!pause)
        return;
    const std::chrono::milliseconds duration(pause->to_number<std::uint32_t>());
    h.paused_until_ = std::chrono::steady_clock::now() + duration;
}

} // namespace

asio::awaitable<void> set_faults(engine_host& h, exchange& e)
{
    boost::system::error_code error;
    const auto body = boost::json::parse(e.request_.body(), error);
    if (error || !body.is_object()) {
        co_await reply(
            e, status::bad_request, std::string("{\"error\":\"malformed\"}"));
        co_return;
    }
    update_faults(h.faults_, body.get_object());
    update_pause(h, body.get_object());
    co_await reply(e, status::ok, std::string("{}"));
    update_dead(h, body.get_object());
}


asio::awaitable<void> get_counts(const engine_host& h, exchange& e)
{
    const counts& c = h.counts_;
    const boost::json::value body{
        {"started", c.started_},
        {"finished", c.finished_},
        {"cancelled", c.cancelled_},
        {"tokens", c.tokens_},
        {"orders", c.orders_},
        {"refused", c.refused_},
        {"prefix_hits", c.prefix_hits_}};
    co_await reply(e, status::ok, body);
}

} // namespace monsoondock::engine_standin
