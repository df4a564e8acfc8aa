#include "control_plane.hpp"

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
// New requests are refused this long before the end of the grace period, since
// they might outlast it.
constexpr std::chrono::milliseconds refuse_before_deadline{4500};
constexpr std::chrono::milliseconds exit_before_deadline{400};


asio::awaitable<void> stop_gracefully(control_plane& c)
{
    const base::time_point start_time = base::boot_clock::now();
    base::event_line("stopping")
        .field("daemon", c.config_.daemon_)
        .field("grace", c.config_.grace_)
        .field("active_requests", c.proxy_->active_requests());
    c.stopping_ = true;
    if (c.leader_.leading_)
        broadcast_heartbeat(c, {{}, c.leader_.term_, {}, {}});
    c.leader_.leading_ = false;
    publish_status(c);
    publish_view(c);
    apply_node_output(c, c.node_.leave(start_time));
    const auto directory_cache_period =
        c.config_.directory_ttl_ + directory_cache_margin;
    for (;;) {
        co_await sleep_for(c, shutdown_poll_period);
        const auto elapsed = base::boot_clock::now() - start_time;
        if (elapsed > c.config_.grace_ - refuse_before_deadline)
            c.proxy_->refuse_new();
        const bool done = c.proxy_->active_requests() == 0 &&
                          elapsed > directory_cache_period;
        if (done || elapsed > c.config_.grace_ - exit_before_deadline)
            break;
    }
    apply_node_output(c, c.node_.depart(base::boot_clock::now()));
    base::event_line("stopped")
        .field("daemon", c.config_.daemon_)
        .field("elapsed", base::boot_clock::now() - start_time)
        .field("cut_requests", c.proxy_->active_requests());
    c.context_.stop();
}

} // namespace

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
