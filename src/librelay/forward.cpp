#include "forward.hpp"

#include "try_upstream.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/relay/choose_upstream.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

// Sends of one attempt of a caller, those that upstreams rejected included.
constexpr unsigned max_sends = 4;
// Callers come back within a third of the time that they have left.
constexpr int return_share = 3;
constexpr milliseconds shortest_return{50};
// A group that lost a host is whole again after about this time.
constexpr milliseconds repair_return{1000};
// Places become free after about the time of one answer.
constexpr milliseconds busy_return{500};
// Requests that may wait at a group for a place: they begin within the
// latency that callers aim at.
constexpr long max_waiting = 3;


/// How a request ended, for its log line.
struct request_end
{
    std::string_view outcome_;
    unsigned status_ = 0;
};


struct forward_context
{
    proxy_thread& t_;
    exchange& e_;
    relay_state state_;
    base::deployment_id deployment_;
    /// Answer of an upstream that failed, for want of a better one.
    std::optional<http_response> failure_;
    /// Some try ended without an answer and may have run.
    bool may_have_run_ = false;
    request_end end_;
};


milliseconds time_left(const exchange& e)
{
    return std::chrono::duration_cast<milliseconds>(
        e.due_ - base::boot_clock::now());
}


// Spreads the returns of callers that are refused together.
milliseconds return_time(forward_context& c, milliseconds wanted)
{
    const double spread = 0.75 + 0.5 * draw(c.t_);
    const auto jittered = milliseconds(
        static_cast<std::int64_t>(double(wanted.count()) * spread));
    const auto longest = time_left(c.e_) / return_share - shortest_return;
    return std::max(shortest_return, std::min(jittered, longest));
}


own_answer final_answer(forward_context& c)
{
    if (c.may_have_run_) {
        const bool late = c.e_.stopped_ == stop_reason::deadline ||
                          time_left(c.e_).count() <= 0;
        return late ? own_answer{http::status::gateway_timeout, "timeout", {}}
                    : own_answer{
                          http::status::bad_gateway, "upstream_failed", {}};
    }
    if (c.e_.sends_ == 0)
        return {
            http::status::service_unavailable,
            "no_upstream",
            return_time(c, repair_return)};
    return {
        http::status::service_unavailable,
        "upstreams_busy",
        return_time(c, busy_return)};
}


asio::awaitable<bool> finish_own(forward_context& c, const own_answer& answer)
{
    const bool keep = c.state_.keep_open_;
    c.end_ = {answer.reason_, static_cast<unsigned>(answer.status_)};
    c.t_.metrics_.add(
        metrics::counter::refusals,
        {c.e_.workspace_.empty() ? "none" : c.e_.workspace_,
         std::string(answer.reason_)});
    const bool sent = co_await write_own_answer(
        *c.e_.caller_,
        own_answer_text(answer, c.t_.config_.headers_, c.e_.id_, keep));
    co_return sent&& keep;
}


asio::awaitable<bool> finish_plain(forward_context& c, http_response answer)
{
    const bool keep = c.state_.keep_open_;
    c.end_ = {"answered", answer.result_int()};
    c.state_.first_answer_ = base::boot_clock::now();
    const std::string text = caller_answer(answer, keep);
    const auto [failure, sent] = co_await asio::async_write(
        c.e_.caller_->socket_, asio::buffer(text), base::await_tuple);
    co_return !failure && keep;
}


// Ends a stream that can't go on so that it does not look complete.
bool finish_cut(forward_context& c)
{
    boost::system::error_code ignored;
    c.e_.caller_->socket_.close(ignored);
    c.end_ = {
        c.e_.stopped_ == stop_reason::deadline ? "stream_timeout"
                                               : "stream_cut",
        0};
    return false;
}


bool is_retryable_failure(const exchange& e, const http_response& answer)
{
    return catalog::may_repeat(e.route_->kind_) && answer.result_int() >= 500;
}


// Returns true when one more upstream may be tried.
bool may_try_again(forward_context& c)
{
    const exchange& e = c.e_;
    if (e.sends_ == 0)
        return true;
    if (e.sends_ >= max_sends || !may_run_again(e))
        return false;
    if (time_left(e).count() <= 0 || e.caller_->left_)
        return false;
    if (e.arrivals_ == 0)
        return true;
    const bool taken =
        retry_limiter_of(c.t_, c.deployment_)
            .take_retry(c.t_.view_->daemons_, base::boot_clock::now());
    if (!taken)
        base::event_line("retry_refused")
            .field("request", e.id_)
            .field("deployment", c.deployment_);
    return taken;
}


// Requests that all daemons send while the news of their loads is on its way.
// Callers are spread evenly, so that each daemon gets its share.
double unheard_requests(const forward_context& c)
{
    const auto found = c.t_.arrivals_.find({c.deployment_, c.e_.model_});
    if (found == c.t_.arrivals_.end())
        return 0;
    return found->second.a_second(base::boot_clock::now()) *
           c.t_.view_->daemons_ *
           std::chrono::duration<double>(
               load_report_period(c.t_.view_->daemons_))
               .count();
}


std::optional<upstream> choose(forward_context& c)
{
    exchange& e = c.e_;
    const auto found = c.t_.view_->upstreams_.find(c.deployment_);
    if (found == c.t_.view_->upstreams_.end())
        return std::nullopt;
    const choice_request request{
        e.model_,
        c.t_.config_.data_centre_,
        e.tried_,
        base::boot_clock::now(),
        draw(c.t_),
        unheard_requests(c)};
    const auto i = choose_upstream(found->second, c.t_.board_, request);
    if (!i)
        return std::nullopt;
    return found->second[*i];
}


// Refuses at once when so many requests wait already that this one would not
// begin in time.
bool is_overloaded(const forward_context& c)
{
    const auto found = c.t_.view_->upstreams_.find(c.deployment_);
    if (found == c.t_.view_->upstreams_.end() || c.e_.model_.empty())
        return false;
    const auto most = most_spare_places(
        found->second, c.t_.board_, c.e_.model_, base::boot_clock::now());
    return most && *most <= -max_waiting;
}


void note_lost(forward_context& c)
{
    const exchange& e = c.e_;
    c.may_have_run_ = true;
    if (e.stopped_ != stop_reason::none)
        return;
    const crash_report report{e.fingerprint_, e.host_, false};
    c.t_.crashes_.add(report, base::boot_clock::now());
    if (c.t_.callbacks_.on_crash_)
        c.t_.callbacks_.on_crash_(report);
}


// A whole answer shows that the crash_count seen under the same request had
// other causes.
void note_answered(forward_context& c)
{
    const base::time_point now = base::boot_clock::now();
    if (c.t_.crashes_.mark_completed(c.e_.fingerprint_, now) &&
        c.t_.callbacks_.on_crash_)
        c.t_.callbacks_.on_crash_({c.e_.fingerprint_, {}, true});
}


void log_try(const forward_context& c, const upstream& u, try_end end)
{
    base::event_line("try")
        .field("request", c.e_.id_)
        .field("host", u.host_)
        .field("group", u.group_)
        .field("send", c.e_.sends_)
        .field("outcome", to_string(end))
        .field("stopped", to_string(c.e_.stopped_))
        .field("events", c.state_.splitter_.events_);
}


// Tries upstreams until one has answered or none may be tried any more.
asio::awaitable<try_end> try_all(forward_context& c)
{
    try_end end = try_end::not_sent;
    while (may_try_again(c)) {
        const auto u = choose(c);
        if (!u)
            break;
        end = co_await try_upstream(c.t_, c.e_, c.state_, *u);
        if (end != try_end::relayed && end != try_end::answered)
            log_try(c, *u, end);
        if (end == try_end::lost)
            note_lost(c);
        if (end == try_end::relayed || end == try_end::answered)
            note_answered(c);
        if (end == try_end::not_sent && c.e_.stopped_ != stop_reason::deadline)
            report_unhealthy(
                c.t_, {u->host_, unhealthy_reason::unreachable, {}});
        if (end == try_end::relayed || end == try_end::caller_gone)
            break;
        if (end != try_end::answered)
            continue;
        if (!is_retryable_failure(c.e_, *c.state_.plain_))
            break;
        c.failure_ = std::exchange(c.state_.plain_, std::nullopt);
    }
    co_return end;
}


asio::awaitable<bool> answer_caller(forward_context& c, try_end end)
{
    if (end == try_end::relayed) {
        c.end_ = {"answered", 200};
        co_return c.state_.keep_open_;
    }
    if (end == try_end::caller_gone) {
        c.end_ = {"caller_left", 0};
        co_return false;
    }
    if (c.state_.head_sent_)
        co_return finish_cut(c);
    if (c.state_.plain_)
        co_return co_await finish_plain(c, *std::move(c.state_.plain_));
    if (c.failure_)
        co_return co_await finish_plain(c, *std::move(c.failure_));
    co_return co_await finish_own(c, final_answer(c));
}


// True when the answer, or a stream's first event, came as early as callers
// aim at.
bool is_in_time(const forward_context& c, base::time_point end)
{
    const bool streamed = c.state_.first_answer_ != base::time_point();
    const auto taken =
        (streamed ? c.state_.first_answer_ : end) - c.e_.received_;
    return taken <= c.e_.route_->target_latency_;
}


void log_end(const forward_context& c)
{
    const exchange& e = c.e_;
    const base::time_point now = base::boot_clock::now();
    base::event_line line("request");
    line.field("request", e.id_)
        .field("route", e.route_->name_)
        .field("workspace", e.workspace_)
        .field("model", e.model_)
        .field("outcome", c.end_.outcome_)
        .field("status", c.end_.status_)
        .field("host", e.host_)
        .field("sends", e.sends_)
        .field("catalog", e.view_->catalog_->version_)
        .field("in_time", is_in_time(c, now) ? "yes" : "no")
        .field("total", now - e.received_);
    if (c.state_.first_answer_ != base::time_point())
        line.field("first", c.state_.first_answer_ - e.received_);
}


void measure(forward_context& c)
{
    const metrics::label labels{
        c.e_.workspace_.empty() ? "none" : c.e_.workspace_, c.e_.route_->name_};
    c.t_.metrics_.add(metrics::counter::requests, labels);
    if (c.e_.sends_ > 1)
        c.t_.metrics_.add(metrics::counter::retries, labels, c.e_.sends_ - 1);
    if (c.state_.first_answer_ != base::time_point())
        c.t_.metrics_.observe(
            metrics::latency::first_token,
            labels,
            c.state_.first_answer_ - c.e_.received_);
}


void note_work(forward_context& c)
{
    c.t_.arrivals_[{c.deployment_, c.e_.model_}].add(base::boot_clock::now());
    if (c.e_.model_.empty())
        return;
    model_demand& demand = c.t_.demand_[{c.deployment_, c.e_.model_}];
    ++demand.requests_;
    demand.prompt_tokens_ += c.e_.prompt_tokens_;
    demand.answer_tokens_ += c.e_.answer_tokens_;
}


asio::awaitable<bool> serve(forward_context& c)
{
    note_work(c);
    if (c.t_.refusing_)
        co_return co_await finish_own(
            c,
            {http::status::service_unavailable,
             "stopping",
             return_time(c, shortest_return)});
    const base::time_point now = base::boot_clock::now();
    if (c.t_.crashes_.crash_count(c.e_.fingerprint_, now) >=
        crash_tracker::max_crashes)
        co_return co_await finish_own(
            c,
            {http::status::service_unavailable,
             "request_crashes_upstreams",
             return_time(c, milliseconds(60000))});
    if (is_overloaded(c))
        co_return co_await finish_own(
            c,
            {http::status::service_unavailable,
             "overloaded",
             return_time(c, busy_return)});
    retry_limiter_of(c.t_, c.deployment_).add_request(now);
    const try_end end = co_await try_all(c);
    co_return co_await answer_caller(c, end);
}

} // namespace

asio::awaitable<bool> forward(proxy_thread& t, std::shared_ptr<exchange> e)
{
    forward_context c{t, *e, {}, {}, {}, {}, {}};
    c.state_.keep_open_ = e->request_.keep_alive() && !t.view_->stopping_;
    const auto* chosen = catalog::choose_deployment(*e->route_, draw(t));
    if (chosen != nullptr)
        c.deployment_ = *chosen;
    t.exchanges_.insert(e);
    ++t.active_;
    e->caller_->on_left_ = [weak = std::weak_ptr(e)] {
        if (const auto live = weak.lock())
            stop(*live, stop_reason::caller_left);
    };
    watch_caller(e->caller_);
    const bool keep = co_await serve(c);
    e->caller_->on_left_ = nullptr;
    t.exchanges_.erase(e);
    --t.active_;
    log_end(c);
    measure(c);
    co_return keep && !e->caller_->left_;
}


asio::awaitable<bool> write_own_answer(caller_link& link, std::string text)
{
    const auto [failure, sent] = co_await asio::async_write(
        link.socket_, asio::buffer(text), base::await_tuple);
    co_return !failure;
}

} // namespace monsoondock::relay::pvt
