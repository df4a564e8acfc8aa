#include "forward.hpp"

#include "crash_records.hpp"
#include "detour.hpp"
#include "forward_records.hpp"
#include "suspended_try.hpp"
#include "upstream_choice.hpp"
#include "wait_limits.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/relay/availability.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

constexpr unsigned http_version_1_1 = 11;
// Callers are told to retry within a third of their remaining time.
constexpr int retry_after_divisor = 3;
constexpr milliseconds min_retry_after{50};
// A group that has lost a host is restored after about this time.
constexpr milliseconds group_repair_retry_after{1000};
// A slot becomes free after about the duration of one response.
constexpr milliseconds busy_retry_after{500};
constexpr milliseconds crash_retry_after{60000};
// Callers that wait for the end of a time return within at least this time
// after it.
constexpr milliseconds min_pause_spread{200};
constexpr int pause_spread_divisor = 4;


milliseconds time_left(const exchange& e)
{
    return std::chrono::duration_cast<milliseconds>(
        e.deadline_ - base::boot_clock::now());
}


milliseconds longest_retry_after(const exchange& e)
{
    return time_left(e) / retry_after_divisor - min_retry_after;
}


milliseconds bounded_retry_after(const exchange& e, milliseconds wanted)
{
    return std::max(min_retry_after, std::min(wanted, longest_retry_after(e)));
}


// Adds jitter, so that callers refused at the same time do not retry at the
// same time.
milliseconds jittered_retry_after(forward_context& c, milliseconds wanted)
{
    const double spread = 0.75 + 0.5 * random_fraction(c.t_);
    const auto jittered = milliseconds(
        static_cast<std::int64_t>(double(wanted.count()) * spread));
    return bounded_retry_after(c.e_, jittered);
}


// Returns when callers may retry that are to wait for the end of the given
// time. They are spread over some time after it, so that none comes too early.
milliseconds spread_after(forward_context& c, milliseconds left)
{
    const auto spread = std::max(min_pause_spread, left / pause_spread_divisor);
    return left + milliseconds(static_cast<std::int64_t>(
                      double(spread.count()) * random_fraction(c.t_)));
}


local_response stopping_response(forward_context& c)
{
    const milliseconds wait =
        c.t_.drain_ ? others_ready_in(*c.t_.drain_, base::boot_clock::now())
                    : milliseconds{0};
    return {
        http::status::service_unavailable,
        "stopping",
        bounded_retry_after(
            c.e_, wait.count() > 0 ? spread_after(c, wait) : wait)};
}


// Returns when the caller may retry, if all upstreams that could serve the
// request have asked for a pause.
std::optional<milliseconds> retry_after_pause(forward_context& c)
{
    const auto found = c.t_.view_->upstreams_.find(c.e_.deployment_);
    if (found == c.t_.view_->upstreams_.end())
        return std::nullopt;
    const base::time_point now = base::boot_clock::now();
    const auto end = earliest_pause_end(
        found->second, c.t_.upstream_table_, c.e_.model_, now);
    if (!end)
        return std::nullopt;
    return spread_after(c, std::chrono::ceil<milliseconds>(*end - now));
}


local_response final_response(forward_context& c)
{
    if (c.t_.aborting_ && c.e_.possible_runs_ == 0)
        return stopping_response(c);
    if (c.e_.possible_runs_ > 0) {
        const bool timed_out = c.e_.stop_reason_ == stop_reason::deadline ||
                               time_left(c.e_).count() <= 0;
        return timed_out
                   ? local_response{http::status::gateway_timeout, "timeout", {}}
                   : local_response{
                         http::status::bad_gateway, "upstream_failed", {}};
    }
    if (const auto pause = retry_after_pause(c))
        return {http::status::service_unavailable, "upstreams_paused", *pause};
    if (c.e_.sends_ == 0)
        return {
            http::status::service_unavailable,
            c.t_.links_->cut_hosts_.empty() ? "no_upstream" : "links_cut",
            jittered_retry_after(c, group_repair_retry_after)};
    return {
        http::status::service_unavailable,
        "upstreams_busy",
        jittered_retry_after(c, busy_retry_after)};
}


local_response overload_response(forward_context& c)
{
    const auto& wanted = c.refusal_->retry_after_;
    return {
        http::status::service_unavailable,
        "overloaded",
        wanted ? std::max(min_retry_after, *wanted)
               : jittered_retry_after(c, busy_retry_after)};
}


asio::awaitable<bool>
send_local_response(forward_context& c, const local_response& response)
{
    const bool keep_alive = c.state_.keep_alive_ && !c.t_.view_->stopping_;
    c.outcome_ = {response.reason_, static_cast<unsigned>(response.status_)};
    c.t_.metrics_.add(
        metrics::counter::refusals,
        {c.e_.workspace_.empty() ? "none" : c.e_.workspace_,
         std::string(response.reason_)});
    const bool sent = co_await write_local_response(
        *c.e_.caller_,
        serialize_local_response(
            response, c.t_.config_.headers_, c.e_.id_, keep_alive));
    co_return sent&& keep_alive;
}


asio::awaitable<bool>
send_buffered_response(forward_context& c, http_response response)
{
    const bool keep_alive = c.state_.keep_alive_ && !c.t_.view_->stopping_;
    c.outcome_ = {"answered", response.result_int()};
    c.state_.first_response_at_ = base::boot_clock::now();
    const std::string header = serialize_response_header(response, keep_alive);
    const std::array<asio::const_buffer, 2> text{
        asio::buffer(header), asio::buffer(response.body())};
    const auto [failure, sent] = co_await asio::async_write(
        c.e_.caller_->socket_, text, base::await_tuple);
    co_return !failure && keep_alive;
}


// Closes the connection without the last chunk, so that a stream that cannot be
// resumed does not look complete. One whose end would mark the end of the
// stream is reset; see reset_on_close.
bool abort_stream(forward_context& c)
{
    boost::system::error_code ignored;
    c.e_.caller_->socket_.close(ignored);
    c.outcome_ = {
        c.e_.stop_reason_ == stop_reason::deadline ? "stream_timeout"
                                                   : "stream_cut",
        0};
    return false;
}


bool is_retryable_failure(const exchange& e, const http_response& response)
{
    return catalog::may_repeat(e.route_->kind_) && response.result_int() >= 500;
}


// Returns true when one more upstream may be tried.
bool may_try_again(forward_context& c)
{
    const exchange& e = c.e_;
    if (c.t_.aborting_)
        return false;
    if (e.sends_ == 0)
        return true;
    if (e.sends_ >= max_sends || !may_run_again(e))
        return false;
    if (time_left(e).count() <= 0 || e.caller_->disconnected_)
        return false;
    if (crashes_upstreams(c.t_, c.e_))
        return false;
    if (e.connected_sends_ == 0)
        return true;
    return take_retry(c.t_, c.e_, base::boot_clock::now());
}


// Sends the request to another daemon, which has links to the upstreams.
asio::awaitable<try_outcome>
take_detour(forward_context& c, const paths::helper& helper)
{
    record_detour(c, helper);
    const try_outcome outcome =
        co_await try_detour(c.t_, c.e_, c.state_, helper);
    log_detour_end(c, helper, outcome);
    co_return outcome;
}


void handle_outcome(forward_context& c, const upstream& u, try_outcome outcome)
{
    if (outcome == try_outcome::lost) {
        c.t_.metrics_.add(metrics::counter::upstream_failures, label_of(c.e_));
        record_possible_crash(c.t_, c.e_, c.state_, u);
    }
    if (outcome == try_outcome::suspended ||
        outcome == try_outcome::caller_gone)
        watch_silent_try(c.t_, c.e_, u);
    if (outcome != try_outcome::relayed && outcome != try_outcome::answered)
        log_try(c, u, outcome);
    if (outcome == try_outcome::relayed || outcome == try_outcome::answered)
        record_completion(c.t_, c.e_, c.state_, u);
    const bool unreachable =
        outcome == try_outcome::not_sent && !c.state_.evacuated_ &&
        (c.e_.stop_reason_ == stop_reason::none ||
         c.e_.stop_reason_ == stop_reason::connect_timeout);
    if (unreachable)
        report_unhealthy(c.t_, {u.host_, unhealthy_reason::unreachable, {}});
}


// Returns true when the suspended try is to go on rather than another one.
bool prefers_suspended_try(const forward_context& c, try_outcome last)
{
    if (c.e_.suspended_ == nullptr || last == try_outcome::suspended)
        return false;
    if (responds(*c.e_.suspended_))
        return true;
    const upstream_state* s =
        c.t_.upstream_table_.find(c.e_.suspended_->target_.host_);
    return s == nullptr || s->unhealthy_until_ <= base::boot_clock::now();
}


// Returns true when the response of an upstream goes to the caller. Keeps the
// failure of one that is to be replaced.
bool take_buffered_response(forward_context& c)
{
    if (c.state_.header_sent_) {
        // A stream that has begun can only go on.
        c.state_.buffered_response_.reset();
        c.state_.memory_ = {};
        return false;
    }
    if (!is_retryable_failure(c.e_, *c.state_.buffered_response_))
        return true;
    c.failed_response_ =
        std::exchange(c.state_.buffered_response_, std::nullopt);
    c.failed_response_memory_ = std::move(c.state_.memory_);
    return false;
}


// Tries upstreams until one has responded or no other may be tried. A suspended
// try goes on when the one that was to replace it has failed.
asio::awaitable<try_outcome> try_all(forward_context& c)
{
    try_outcome outcome = try_outcome::not_sent;
    for (;;) {
        std::optional<upstream> u;
        std::optional<paths::helper> helper;
        if (!prefers_suspended_try(c, outcome) && may_try_again(c)) {
            helper = choose_detour(c.t_, c.e_);
            if (!helper)
                u = choose(c.t_, c.e_);
        }
        const bool may_resume = c.e_.suspended_ != nullptr && !c.t_.aborting_ &&
                                time_left(c.e_).count() > 0;
        if (helper) {
            outcome = co_await take_detour(c, *helper);
        } else if (u) {
            outcome = co_await try_upstream(c.t_, c.e_, c.state_, *u);
        } else if (may_resume) {
            u = c.e_.suspended_->target_;
            outcome = co_await resume_try(c.t_, c.e_, c.state_);
        } else {
            break;
        }
        if (!helper)
            handle_outcome(c, *u, outcome);
        if (outcome == try_outcome::relayed ||
            outcome == try_outcome::caller_gone)
            break;
        if (outcome == try_outcome::answered && take_buffered_response(c))
            break;
    }
    drop_suspended_try(c.t_, c.e_);
    co_return outcome;
}


asio::awaitable<bool> respond_to_caller(forward_context& c, try_outcome outcome)
{
    if (outcome == try_outcome::relayed) {
        c.outcome_ = {"answered", 200};
        co_return c.state_.keep_alive_&& c.state_.chunked_;
    }
    if (outcome == try_outcome::caller_gone) {
        c.outcome_ = {"caller_left", 0};
        co_return false;
    }
    if (c.state_.header_sent_)
        co_return abort_stream(c);
    if (c.state_.buffered_response_)
        co_return co_await send_buffered_response(
            c, *std::move(c.state_.buffered_response_));
    if (c.failed_response_)
        co_return co_await send_buffered_response(
            c, *std::move(c.failed_response_));
    co_return co_await send_local_response(c, final_response(c));
}


response_end response_end_of(const forward_context& c, base::time_point now)
{
    return {c.e_.deadline_, expected_end(c.e_, now)};
}


// Returns false when the daemon is shutting down and might not finish the
// request.
bool is_accepted(forward_context& c, base::time_point now)
{
    if (!c.t_.drain_)
        return true;
    const drain_schedule& schedule = *c.t_.drain_;
    const response_end end = response_end_of(c, now);
    const acceptance found = assess(schedule, now, end);
    c.e_.acceptance_ = found;
    base::event_line("request_in_shutdown")
        .field("request", c.e_.id_)
        .field("acceptance", to_string(found))
        .field("others_ready", schedule.others_ready_at_ - now)
        .field("exit", schedule.exit_at_ - now)
        .field("deadline", end.deadline_ - now)
        .field("expected", end.expected_ - now);
    return found != acceptance::rejected;
}


// Prepares for the runs of a stream, which begins where the caller asks for.
void prepare_stream(forward_context& c)
{
    base::stream_join& join = c.state_.splitter_.join_;
    join.resumable_ = catalog::may_repeat(c.e_.route_->kind_);
    const auto text = c.e_.request_[c.t_.config_.headers_.last_event_id_];
    const auto id = base::parse_event_id({text.data(), text.size()});
    if (id)
        begin_after(join, *id);
}


asio::awaitable<bool> serve(forward_context& c)
{
    record_demand(c);
    const base::time_point now = base::boot_clock::now();
    if (c.e_.is_detour_ && c.t_.detours_ > max_detours)
        co_return co_await send_local_response(
            c,
            {http::status::service_unavailable,
             "too_many_detours",
             jittered_retry_after(c, busy_retry_after)});
    if (!is_accepted(c, now))
        co_return co_await send_local_response(c, stopping_response(c));
    if (!admit_crashing_request(c.t_, c.e_))
        co_return co_await send_local_response(
            c,
            {http::status::service_unavailable,
             "request_crashes_upstreams",
             jittered_retry_after(c, crash_retry_after)});
    c.refusal_ = check_admission(c.t_, c.e_, longest_retry_after(c.e_));
    if (c.refusal_)
        co_return co_await send_local_response(c, overload_response(c));
    // The daemon that passed a request on has counted it.
    if (!c.e_.is_detour_)
        retry_limiter_of(c.t_, c.e_.deployment_).add_request(now);
    const try_outcome outcome = co_await try_all(c);
    co_return co_await respond_to_caller(c, outcome);
}

} // namespace

asio::awaitable<bool> forward(proxy_thread& t, std::shared_ptr<exchange> e)
{
    forward_context c{t, *e, {}, {}, {}, {}, {}};
    prepare_stream(c);
    c.state_.keep_alive_ = e->request_.keep_alive();
    c.state_.chunked_ = e->request_.version() >= http_version_1_1;
    const auto* chosen =
        catalog::choose_deployment(*e->route_, random_fraction(t));
    if (chosen != nullptr)
        e->deployment_ = *chosen;
    t.exchanges_.insert(e);
    ++t.active_;
    t.detours_ += e->is_detour_ ? 1 : 0;
    e->caller_->on_disconnect_ = [weak = std::weak_ptr(e)] {
        if (const auto live = weak.lock())
            stop(*live, stop_reason::caller_left);
    };
    watch_for_disconnect(e->caller_);
    const bool keep_alive = co_await serve(c);
    e->caller_->on_disconnect_ = nullptr;
    t.exchanges_.erase(e);
    --t.active_;
    t.detours_ -= e->is_detour_ ? 1 : 0;
    record_request(c);
    co_return keep_alive && !e->caller_->disconnected_;
}


asio::awaitable<bool>
write_local_response(caller_connection& connection, std::string text)
{
    const auto [failure, sent] = co_await asio::async_write(
        connection.socket_, asio::buffer(text), base::await_tuple);
    co_return !failure;
}

} // namespace monsoondock::relay::pvt
