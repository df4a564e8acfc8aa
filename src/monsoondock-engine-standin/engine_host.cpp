#include "engine_host.hpp"

#include "completion.hpp"
#include "controls.hpp"
#include "orders.hpp"
#include "status.hpp"

#include <monsoondock/standin/no_throw.hpp>

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace monsoondock::engine_standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::http::status;
using standin::exchange;
using standin::reply;

namespace {

constexpr std::string_view REQUESTS = "/v1/requests/";


bool is_member(const engine_host& h, const std::string& address)
{
    const auto& hosts = h.replica_.hosts_;
    return std::find(hosts.begin(), hosts.end(), address) != hosts.end();
}


bool serves_with(const engine_host& member, const replica& r)
{
    return !member.server_.dead_ && is_ready(member.replica_) &&
           member.replica_.group_ == r.group_ &&
           member.replica_.generation_ == r.generation_;
}


asio::awaitable<void> wait_while_paused(const engine_host& h)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (h.paused_until_ > std::chrono::steady_clock::now()) {
        timer.expires_at(h.paused_until_);
        co_await timer.async_wait(standin::NO_THROW);
    }
}


asio::awaitable<void> cancel_request(engine_host& h, exchange& e)
{
    const std::string id = standin::path(e).substr(REQUESTS.size());
    bool found = false;
    for (job* j : h.jobs_) {
        if (j->id_ != id)
            continue;
        cancel(*j);
        found = true;
    }
    if (found)
        co_await reply(e, status::ok, std::string("{\"cancelled\":true}"));
    else
        co_await reply(
            e, status::not_found, std::string("{\"error\":\"not_found\"}"));
}


asio::awaitable<void>
answer_engine_call(engine_host& h, exchange& e, const std::string& path)
{
    const auto method = e.request_.method();
    if (method == http::verb::get && path == "/v1/status")
        co_await answer_status(h, e);
    else if (method == http::verb::post && path == "/v1/orders")
        co_await answer_order(h, e);
    else if (method == http::verb::post && path == "/v1/chat/completions")
        co_await answer_completion(h, e);
    else if (method == http::verb::delete_ && path.starts_with(REQUESTS))
        co_await cancel_request(h, e);
    else
        co_await reply(
            e, status::not_found, std::string("{\"error\":\"no_such_call\"}"));
}

} // namespace

void kill(engine_host& h)
{
    const std::string own = standin::address(h.server_);
    h.server_.dead_ = true;
    for (engine_host& other : h.fleet_) {
        if (is_member(other, own))
            cancel_jobs(other);
    }
    cancel_jobs(h);
    h.replica_ = {};
    h.prefixes_.clear();
    standin::drop_connections(h.server_);
}


void cancel_jobs(engine_host& h)
{
    for (job* j : h.jobs_)
        cancel(*j);
}


bool is_whole(const engine_host& head)
{
    return std::all_of(
        head.fleet_.begin(), head.fleet_.end(), [&](const engine_host& h) {
            return !is_member(head, standin::address(h.server_)) ||
                   serves_with(h, head.replica_);
        });
}


asio::awaitable<void> answer(engine_host& h, exchange& e)
{
    const std::string path = standin::path(e);
    if (path == "/standin/faults") {
        co_await set_faults(h, e);
        co_return;
    }
    if (path == "/standin/counts") {
        co_await get_counts(h, e);
        co_return;
    }
    co_await wait_while_paused(h);
    co_await answer_engine_call(h, e, path);
}

} // namespace monsoondock::engine_standin
