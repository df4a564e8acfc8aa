#include "status_handler.hpp"

#include <boost/json/serialize.hpp>

namespace monsoondock::engine_standin {

namespace asio = boost::asio;

namespace {

void sample_load(engine_host& h)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - h.load_.taken_at_ < h.faults_.status_lag_)
        return;
    h.load_ = {
        now, h.queue_.running_, h.queue_.waiting_.size(), h.prefixes_.size()};
}

} // namespace

asio::awaitable<void> handle_status(engine_host& h, standin::exchange& e)
{
    sample_load(h);
    const replica& r = h.replica_;
    boost::json::object body{
        {"host", h.id_},
        {"group", r.group_},
        {"generation", r.generation_},
        {"phase", phase(r)},
        {"role", role(r)},
        {"deployment", r.deployment_},
        {"running", h.load_.running_},
        {"queued", h.load_.queued_},
        {"cached_prefixes", h.load_.cached_prefixes_},
        {"checks_generation", !h.faults_.ignore_generation_}};
    if (h.faults_.limit_ > 0)
        body["request_limit"] = h.faults_.limit_;
    co_await standin::reply(
        e, boost::beast::http::status::ok, boost::json::serialize(body));
}

} // namespace monsoondock::engine_standin
