#include "plain_service.hpp"

#include <monsoondock/standin/sleep_for.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace monsoondock::service_standin {

namespace asio = boost::asio;
using boost::beast::http::status;
using standin::exchange;
using standin::reply;

namespace {

void update_dead(plain_service& s, const boost::json::object& body)
{
    const auto* dead = body.if_contains("dead");
    if (!dead)
        return;
    s.server_.dead_ = dead->as_bool();
}


asio::awaitable<void> set_faults(plain_service& s, exchange& e)
{
    boost::system::error_code error;
    const auto body = boost::json::parse(e.request_.body(), error);
    if (error || !body.is_object()) {
        co_await reply(e, status::bad_request, std::string("{}"));
        co_return;
    }
    update_faults(s.faults_, body.get_object());
    update_dead(s, body.get_object());
    co_await reply(e, status::ok, std::string("{}"));
    if (s.server_.dead_)
        standin::drop_connections(s.server_);
}


asio::awaitable<void> get_runs(const plain_service& s, exchange& e)
{
    boost::json::object body;
    for (const auto& [key, count] : s.runs_)
        body[key] = count;
    co_await reply(e, status::ok, body);
}


/// Consumes one of the remaining faults; returns false when none is left.
bool consume_one(std::uint64_t& remaining)
{
    if (remaining == 0)
        return false;
    --remaining;
    return true;
}


std::string run_call(plain_service& s, const exchange& e)
{
    const std::string key = standin::header(e, "Idempotency-Key");
    boost::json::object body{{"service", s.name_}, {"key", key}};
    body["run"] = ++s.runs_[key];
    body["path"] = standin::path(e);
    body["echo"] = e.request_.body();
    return boost::json::serialize(body);
}


asio::awaitable<void> handle_call(plain_service& s, exchange& e)
{
    if (consume_one(s.faults_.crash_before_run_)) {
        standin::drop(e);
        co_return;
    }
    co_await standin::sleep_for(s.faults_.delay_);
    std::string body = run_call(s, e);
    if (consume_one(s.faults_.crash_after_run_))
        standin::drop(e);
    else if (s.faults_.cut_after_bytes_ > 0)
        co_await standin::reply_truncated(e, body, s.faults_.cut_after_bytes_);
    else if (!s.faults_.raw_response_.empty())
        co_await standin::reply_raw(e, s.faults_.raw_response_);
    else
        co_await reply(e, status::ok, std::move(body));
}

} // namespace

asio::awaitable<void> handle_request(plain_service& s, exchange& e)
{
    const std::string path = standin::path(e);
    if (path == "/standin/faults")
        co_await set_faults(s, e);
    else if (path == "/standin/runs")
        co_await get_runs(s, e);
    else
        co_await handle_call(s, e);
}

} // namespace monsoondock::service_standin
