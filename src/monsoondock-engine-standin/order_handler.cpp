#include "order_handler.hpp"

#include "order.hpp"

namespace monsoondock::engine_standin {

namespace asio = boost::asio;
using boost::beast::http::status;
using standin::exchange;
using standin::reply;

namespace {

bool is_stale(const engine_host& h, const order& o)
{
    return !h.faults_.ignore_generation_ &&
           o.generation_ < h.replica_.generation_;
}


bool is_repeated(const engine_host& h, const order& o)
{
    const replica& r = h.replica_;
    return r.group_ == o.group_ && r.generation_ == o.generation_ &&
           r.rank_ == o.rank_ && r.deployment_ == o.deployment_ &&
           r.hosts_ == o.hosts_;
}


void load(engine_host& h, const order& o)
{
    if (is_repeated(h, o))
        return;
    cancel_jobs(h);
    h.prefixes_.clear();
    const auto now = std::chrono::steady_clock::now();
    h.replica_ = {
        o.group_,
        o.generation_,
        o.deployment_,
        o.rank_,
        o.hosts_,
        now + h.load_time_};
}


void unload(engine_host& h, const order& o)
{
    cancel_jobs(h);
    h.prefixes_.clear();
    h.replica_ = {};
    h.replica_.generation_ = o.generation_;
}

} // namespace

asio::awaitable<void> handle_order(engine_host& h, exchange& e)
{
    const auto o = parse_order(e.request_.body());
    if (!o) {
        co_await reply(
            e, status::bad_request, std::string("{\"error\":\"malformed\"}"));
        co_return;
    }
    if (is_stale(h, *o)) {
        co_await reject_stale_generation(h, e);
        co_return;
    }
    ++h.counts_.orders_;
    if (o->kind_ == order_kind::load)
        load(h, *o);
    else
        unload(h, *o);
    co_await reply(e, status::ok, std::string("{}"));
}


asio::awaitable<void> reject_stale_generation(engine_host& h, exchange& e)
{
    ++h.counts_.refused_;
    const boost::json::value body{
        {"error", "stale_generation"}, {"generation", h.replica_.generation_}};
    co_await reply(e, status::conflict, body);
}

} // namespace monsoondock::engine_standin
