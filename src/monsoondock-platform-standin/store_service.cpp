#include "store_service.hpp"

#include "object_json.hpp"

#include <monsoondock/standin/no_throw.hpp>
#include <monsoondock/standin/sleep_for.hpp>

#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/parse.hpp>

namespace monsoondock::platform_standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::http::status;
using standin::exchange;
using standin::reply;

namespace {

constexpr std::uint64_t max_watch_ms = 60000;
/// Interval at which a waiting watch polls for hosts that became visible. No
/// write wakes it at that moment, since the change was written earlier.
constexpr auto host_view_poll_interval = std::chrono::milliseconds(10);
constexpr std::string_view objects_path = "/v1/objects/";

using clock = std::chrono::steady_clock;


asio::awaitable<void> reply_error(exchange& e, status s, const char* error)
{
    std::string body = "{\"error\":\"";
    body.append(error).append("\"}");
    co_await reply(e, s, std::move(body));
}


void update_host_view(store_service& s)
{
    s.host_view_.advance(clock::now(), s.faults_.list_lag_);
}


asio::awaitable<void> get_object(store_service& s, exchange& e)
{
    const auto key = standin::path(e).substr(objects_path.size());
    const auto found = s.store_.get(key);
    if (found)
        co_await reply(e, status::ok, to_json(*found));
    else
        co_await reply_error(e, status::not_found, "not_found");
}


asio::awaitable<void> list_objects(store_service& s, exchange& e)
{
    const std::string prefix = standin::parameter(e, "prefix");
    update_host_view(s);
    const auto list = is_host_prefix(prefix)
                          ? s.host_view_.list(prefix, s.store_.current())
                          : s.store_.list(prefix);
    co_await reply(e, status::ok, to_json(list));
}


std::optional<platform::write_condition> parse_condition(const exchange& e)
{
    if (standin::header(e, "If-None-Match") == "*")
        return platform::if_absent{};
    const std::string tag = standin::header(e, "If-Match");
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    const auto text = std::string_view(tag).substr(1, tag.size() - 2);
    return platform::if_version{{standin::number_or(text, 0)}};
}


void wake_watches(store_service& s)
{
    for (asio::steady_timer* timer : s.watch_timers_)
        timer->cancel();
}


void publish_change(store_service& s, platform::change c)
{
    s.host_view_.record(std::move(c), clock::now());
    wake_watches(s);
}


asio::awaitable<void>
reply_to_write(store_service& s, exchange& e, platform::write_outcome outcome)
{
    const auto* success = std::get_if<platform::written>(&outcome);
    if (!success) {
        co_await reply_error(e, status::precondition_failed, "conflict");
        co_return;
    }
    if (s.faults_.lose_write_answers_ > 0) {
        --s.faults_.lose_write_answers_;
        standin::drop(e);
        co_return;
    }
    const auto version = std::to_string(success->version_.value_);
    co_await reply(e, status::ok, "{\"version\":" + version + "}");
}


bool is_json(const std::string& text)
{
    boost::system::error_code error;
    boost::json::parse(text, error);
    return !error;
}


asio::awaitable<void> put_object(store_service& s, exchange& e)
{
    const auto key = standin::path(e).substr(objects_path.size());
    const auto condition = parse_condition(e);
    const std::string& value = e.request_.body();
    if (!condition || key.empty() || !is_json(value)) {
        co_await reply_error(e, status::bad_request, "malformed");
        co_return;
    }
    if (value.size() > platform::max_value_bytes) {
        co_await reply_error(e, status::payload_too_large, "too_large");
        co_return;
    }
    const auto outcome = s.store_.put(key, value, *condition);
    if (const auto* success = std::get_if<platform::written>(&outcome))
        publish_change(s, {{key, success->version_, value}, false});
    co_await reply_to_write(s, e, outcome);
}


asio::awaitable<void> delete_object(store_service& s, exchange& e)
{
    const auto key = standin::path(e).substr(objects_path.size());
    const auto condition = parse_condition(e);
    if (!condition ||
        !std::holds_alternative<platform::if_version>(*condition)) {
        co_await reply_error(e, status::bad_request, "malformed");
        co_return;
    }
    const auto expected = std::get<platform::if_version>(*condition);
    const auto outcome = s.store_.erase(key, expected.version_);
    if (const auto* success = std::get_if<platform::written>(&outcome))
        publish_change(s, {{key, success->version_, {}}, true});
    co_await reply_to_write(s, e, outcome);
}


std::optional<platform::change_batch> visible_changes(
    store_service& s, const std::string& prefix, platform::version from)
{
    update_host_view(s);
    auto batch = s.store_.changes_since(prefix, from);
    if (batch && is_host_prefix(prefix))
        s.host_view_.remove_pending(*batch);
    if (batch)
        batch->next_ = std::max(batch->next_, from);
    return batch;
}


/// Returns when a waiting watch must check for changes again. With a list lag
/// it polls for hosts that become visible, otherwise it waits until end.
clock::time_point next_check(const store_service& s, clock::time_point end)
{
    if (s.faults_.list_lag_.count() == 0)
        return end;
    return std::min(end, clock::now() + host_view_poll_interval);
}


/// Waits until end, or until a write or a change of the faults.
asio::awaitable<void> wait_for_change(store_service& s, clock::time_point end)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, end);
    const auto position = s.watch_timers_.insert(s.watch_timers_.end(), &timer);
    co_await timer.async_wait(standin::NO_THROW);
    s.watch_timers_.erase(position);
}


asio::awaitable<void> watch_objects(store_service& s, exchange& e)
{
    const std::string prefix = standin::parameter(e, "prefix");
    const auto from = standin::number_or(standin::parameter(e, "from"), 0);
    const auto requested_ms =
        standin::number_or(standin::parameter(e, "wait_ms"), 0);
    const auto wait_ms = std::min(requested_ms, max_watch_ms);
    const auto end = clock::now() + std::chrono::milliseconds(wait_ms);
    auto batch = visible_changes(s, prefix, {from});
    while (batch && batch->changes_.empty() && clock::now() < end) {
        co_await wait_for_change(s, next_check(s, end));
        if (s.faults_.down_) {
            co_await reply_error(e, status::service_unavailable, "down");
            co_return;
        }
        batch = visible_changes(s, prefix, {from});
    }
    if (batch)
        co_await reply(e, status::ok, to_json(*batch));
    else
        co_await reply_error(e, status::gone, "list_again");
}


asio::awaitable<void> set_faults(store_service& s, exchange& e)
{
    boost::system::error_code error;
    const auto body = boost::json::parse(e.request_.body(), error);
    if (error || !body.is_object()) {
        co_await reply_error(e, status::bad_request, "malformed");
        co_return;
    }
    update_faults(s.faults_, body.get_object());
    wake_watches(s);
    co_await reply(e, status::ok, std::string("{}"));
}


asio::awaitable<void> get_counts(const store_service& s, exchange& e)
{
    const boost::json::value body{
        {"reads", s.counts_.reads_},
        {"writes", s.counts_.writes_},
        {"watches", s.counts_.watches_}};
    co_await reply(e, status::ok, body);
}


void count(call_counts& counts, const exchange& e, bool is_watch)
{
    if (is_watch)
        ++counts.watches_;
    else if (e.request_.method() == http::verb::get)
        ++counts.reads_;
    else
        ++counts.writes_;
}


asio::awaitable<void> handle_object_request(store_service& s, exchange& e)
{
    const std::string path = standin::path(e);
    const bool is_get = e.request_.method() == http::verb::get;
    if (is_get && path == "/v1/watch")
        co_await watch_objects(s, e);
    else if (is_get && path == "/v1/objects")
        co_await list_objects(s, e);
    else if (!path.starts_with(objects_path))
        co_await reply_error(e, status::not_found, "no_such_call");
    else if (is_get)
        co_await get_object(s, e);
    else if (e.request_.method() == http::verb::put)
        co_await put_object(s, e);
    else if (e.request_.method() == http::verb::delete_)
        co_await delete_object(s, e);
    else
        co_await reply_error(e, status::method_not_allowed, "no_such_call");
}

} // namespace

asio::awaitable<void> handle_request(store_service& s, exchange& e)
{
    const std::string path = standin::path(e);
    if (path == "/standin/faults") {
        co_await set_faults(s, e);
        co_return;
    }
    if (path == "/standin/counts") {
        co_await get_counts(s, e);
        co_return;
    }
    count(s.counts_, e, path == "/v1/watch");
    co_await standin::sleep_for(s.faults_.delay_);
    if (s.faults_.down_)
        co_await reply_error(e, status::service_unavailable, "down");
    else
        co_await handle_object_request(s, e);
}

} // namespace monsoondock::platform_standin
