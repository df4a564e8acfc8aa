#include "front_thread.hpp"

#include "patience.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds sweep_period{25};
constexpr std::chrono::milliseconds pool_check_period{500};
// A caller that does not take its answer is cut this long after it was due.
constexpr std::chrono::milliseconds write_grace{400};
// Peers answer a question within a few milliseconds.
constexpr std::chrono::milliseconds question_time{40};


// Takes the exchange away from an upstream that waits for too long, when
// another one may have it.
void move_if_allowed(exchange& e, base::time_point now)
{
    const bool counted = e.phase_ != wait_phase::connect;
    if (counted && e.runs_ + 1 > e.route_->max_attempts_)
        return;
    if (counted && !catalog::may_repeat(e.route_->kind_))
        return;
    if (e.view_->catalog_ == nullptr || now >= e.due_)
        return;
    stop(
        e,
        e.phase_ == wait_phase::connect ? stop_reason::connect_timeout
                                        : stop_reason::moved);
}


// Returns true once no daemon has heard of the upstream for a while: the
// peers were asked, and none has answered in time.
bool is_silent(front_thread& t, const exchange& e, base::time_point now)
{
    const auto limit = wait_limit(e);
    upstream_state& s = t.board_.of(e.host_);
    if (s.doubted_until_ > now)
        return true;
    // Other answers from there show that it only works slowly.
    const base::time_point heard = std::max(s.last_progress_, s.heard_by_peer_);
    if (now - heard < limit)
        return false;
    if (s.asked_at_ <= heard) {
        s.asked_at_ = now;
        if (t.events_.asked_)
            t.events_.asked_(e.host_);
    }
    return now - s.asked_at_ >= question_time;
}


void check_wait(front_thread& t, exchange& e, base::time_point now)
{
    const auto limit = wait_limit(e);
    if (limit.count() == 0 || now - e.phase_start_ < limit)
        return;
    if (e.phase_ != wait_phase::connect &&
        catalog::is_stream(e.route_->kind_)) {
        const bool silent = is_silent(t, e, now);
        if (!silent && now - e.phase_start_ < hang_limit(e))
            return;
        if (silent && t.board_.of(e.host_).doubted_until_ <= now)
            raise_doubt(t, {e.host_, doubt_reason::silent, {}});
    }
    move_if_allowed(e, now);
}


void sweep_exchange(front_thread& t, exchange& e, base::time_point now)
{
    if (now >= e.due_)
        stop(e, stop_reason::deadline);
    if (now >= e.due_ + write_grace) {
        boost::system::error_code ignored;
        e.caller_->socket_.close(ignored);
    }
    if (e.stopped_ == stop_reason::none)
        check_wait(t, e, now);
}


void sweep_caller(caller_link& link, base::time_point now)
{
    if (link.phase_ == link_phase::exchange || now < link.phase_end_)
        return;
    link.timed_out_ = true;
    link.phase_end_ = base::time_point::max();
    boost::system::error_code ignored;
    link.socket_.cancel(ignored);
}


void sweep(front_thread& t, base::time_point now)
{
    for (const auto& e : t.exchanges_)
        sweep_exchange(t, *e, now);
    for (const auto& link : t.callers_)
        sweep_caller(*link, now);
}


asio::awaitable<void> run_sweep(front_thread& t)
{
    base::time_point next_pool_check;
    for (;;) {
        t.sweep_timer_.expires_after(sweep_period);
        const auto [failure] =
            co_await t.sweep_timer_.async_wait(base::await_tuple);
        if (failure)
            co_return;
        const base::time_point now = base::boot_clock::now();
        sweep(t, now);
        if (now < next_pool_check)
            continue;
        next_pool_check = now + pool_check_period;
        t.pool_.drop_old(now);
    }
}

} // namespace

double draw(front_thread& t)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(t.random_);
}


attempt_window&
attempts_of(front_thread& t, const base::deployment_id& deployment)
{
    return t.attempts_
        .try_emplace(deployment, attempt_window(t.config_.attempts_))
        .first->second;
}


void start_sweep(front_thread& t)
{
    asio::co_spawn(t.context_, run_sweep(t), asio::detached);
}


void raise_doubt(front_thread& t, const doubt& d)
{
    t.board_.of(d.host_).doubted_until_ = base::boot_clock::now() + doubt_time;
    base::event_line("upstream_doubted")
        .field("host", d.host_)
        .field("reason", to_string(d.reason_))
        .field("failed_address", d.failed_address_);
    if (t.events_.doubted_)
        t.events_.doubted_(d);
}

} // namespace monsoondock::relay::pvt
