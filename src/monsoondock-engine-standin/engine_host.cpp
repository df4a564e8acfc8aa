#include "engine_host.hpp"

#include "completion_handler.hpp"
#include "control_api.hpp"
#include "order_handler.hpp"
#include "status_handler.hpp"

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

constexpr std::string_view requests_path = "/v1/requests/";


bool is_member(const engine_host& h, const std::string& address)
{
    const auto& hosts = h.replica_.hosts_;
    return std::find(hosts.begin(), hosts.end(), address) != hosts.end();
}


bool is_ready_in_group_of(const engine_host& member, const replica& r)
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
    const std::string id = standin::path(e).substr(requests_path.size());
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
handle_engine_request(engine_host& h, exchange& e, const std::string& path)
{
    const auto method = e.request_.method();
    if (method == http::verb::get && path == "/v1/status")
        co_await handle_status(h, e);
    else if (method == http::verb::post && path == "/v1/orders")
        co_await handle_order(h, e);
    else if (method == http::verb::post && path == "/v1/chat/completions")
        co_await handle_completion(h, e);
    else if (method == http::verb::delete_ && path.starts_with(requests_path))
        co_await cancel_request(h, e);
    else
        co_await reply(
            e, status::not_found, std::string("{\"error\":\"no_such_call\"}"));
}

} // namespace

void crash_host(engine_host& h)
{
    const std::string own_address = standin::address(h.server_);
    h.server_.dead_ = true;
    for (engine_host& other : h.process_hosts_) {
        if (is_member(other, own_address))
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


bool is_group_ready(const engine_host& head)
{
    return std::all_of(
        head.process_hosts_.begin(),
        head.process_hosts_.end(),
        [&](const engine_host& h) {
            return !is_member(head, standin::address(h.server_)) ||
                   is_ready_in_group_of(h, head.replica_);
        });
}


asio::awaitable<void> handle_request(engine_host& h, exchange& e)
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
    co_await handle_engine_request(h, e, path);
}

} // namespace monsoondock::engine_standin
