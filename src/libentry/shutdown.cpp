#include "control_plane.hpp"
#include "shutdown_cover.hpp"
#include "shutdown_times.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds shutdown_poll_period{50};
// Callers may use the address of this daemon for the directory TTL and this
// margin after they received it.
constexpr std::chrono::milliseconds directory_cache_margin{300};
// Time to write the last responses of aborted requests.
constexpr std::chrono::milliseconds abort_time{150};


// Polls until done returns true; returns false when the time is over first.
template <class Condition>
asio::awaitable<bool>
wait_for(control_plane& c, base::time_point until, Condition done)
{
    for (;;) {
        co_await sleep_for(c, shutdown_poll_period);
        if (done())
            co_return true;
        if (base::boot_clock::now() >= until)
            co_return false;
    }
}


// Returns how long callers may use the address of this daemon after the
// directory gave it to them.
std::chrono::milliseconds
address_lifetime(const control_plane& c, bool covering)
{
    return directory_ttl(covering, c.config_.directory_ttl_) +
           directory_cache_margin;
}


// Returns until when callers may use the address of this daemon: while it
// covers for those that restart, until the latest response of the directory
// expires.
base::time_point
used_until(const control_plane& c, base::time_point known, base::time_point now)
{
    return covering_daemons(c).contains(c.config_.daemon_)
               ? std::max(known, now + address_lifetime(c, true))
               : known;
}


// Returns when another daemon is expected to be ready.
base::time_point others_ready_at(const control_plane& c, base::time_point now)
{
    return next_ready(
        c.node_.members(),
        {c.config_.daemon_, c.stopping_since_},
        address_lifetime(c, false),
        now);
}


// Ends the requests in progress: callers first learn of other daemons while
// this one still serves, then idle connections are closed. Returns the number
// of requests that had to be aborted.
asio::awaitable<std::uint64_t>
drain_proxy(control_plane& c, base::time_point start_time)
{
    relay::reverse_proxy& proxy = *c.proxy_;
    relay::drain_schedule schedule =
        plan_shutdown(start_time, c.config_.grace_, address_lifetime(c, false));
    schedule.others_ready_at_ = others_ready_at(c, start_time);
    proxy.drain(schedule);
    base::time_point open_until = start_time + address_lifetime(c, false);
    co_await wait_for(c, schedule.exit_at_, [&] {
        const base::time_point now = base::boot_clock::now();
        open_until = used_until(c, open_until, now);
        schedule.others_ready_at_ = others_ready_at(c, now);
        proxy.drain(schedule);
        return proxy.busy_connections() == 0 && now >= open_until;
    });
    proxy.close_idle_connections();
    const auto is_closed = [&proxy] {
        return proxy.is_closed();
    };
    const bool closed = co_await wait_for(c, schedule.exit_at_, is_closed);
    if (closed)
        co_return 0;
    const std::uint64_t aborted = proxy.active_requests();
    proxy.abort_requests();
    co_await wait_for(c, base::boot_clock::now() + abort_time, is_closed);
    co_return aborted;
}


asio::awaitable<void> stop_gracefully(control_plane& c)
{
    const base::time_point start_time = base::boot_clock::now();
    base::event_line("stopping")
        .field("daemon", c.config_.daemon_)
        .field("grace", c.config_.grace_)
        .field("active_requests", c.proxy_->active_requests());
    c.stopping_ = true;
    c.stopping_since_ = start_time;
    if (c.leader_.leading_)
        broadcast_heartbeat(c, {{}, c.leader_.term_, {}, {}});
    c.leader_.leading_ = false;
    publish_status(c);
    publish_view(c);
    apply_node_output(c, c.node_.leave(start_time));
    const std::uint64_t aborted = co_await drain_proxy(c, start_time);
    apply_node_output(c, c.node_.depart(base::boot_clock::now()));
    base::event_line("stopped")
        .field("daemon", c.config_.daemon_)
        .field("elapsed", base::boot_clock::now() - start_time)
        .field("cut_requests", aborted);
    c.context_.stop();
}

} // namespace

std::set<base::daemon_id> covering_daemons(const control_plane& c)
{
    if (is_ready(c))
        return {};
    std::optional<stopping_daemon> self;
    if (c.stopping_)
        self = {c.config_.daemon_, c.stopping_since_};
    return covering_daemons(c.node_.members(), self, base::boot_clock::now());
}


asio::awaitable<void> run_signals(control_plane& c)
{
    bool stop_requested = false;
    for (;;) {
        const auto [failure, number] =
            co_await c.signals_.async_wait(base::await_tuple);
        if (failure)
            co_return;
        if (number == SIGHUP) {
            base::event_line("sighup_ignored")
                .field("daemon", c.config_.daemon_);
            continue;
        }
        // Supervisors may signal a process and its process group.
        if (std::exchange(stop_requested, true)) {
            base::event_line("stop_signal_repeated")
                .field("daemon", c.config_.daemon_)
                .field("signal", number);
            continue;
        }
        asio::co_spawn(c.context_, stop_gracefully(c), asio::detached);
    }
}

} // namespace monsoondock::entry::pvt
