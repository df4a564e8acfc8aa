#include "control.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds poll_period{50};
// Callers that got this daemon's address just before keep it for a while.
constexpr std::chrono::milliseconds linger{300};
// Requests that would outlast the grace time are refused this long before
// its end.
constexpr std::chrono::milliseconds refuse_before_end{4500};
constexpr std::chrono::milliseconds exit_before_end{400};


asio::awaitable<void> stop_gracefully(control& c)
{
    const base::time_point begun = base::boot_clock::now();
    base::event_line("stopping")
        .field("daemon", c.config_.daemon_)
        .field("active_requests", c.front_->active_requests());
    c.stopping_ = true;
    if (c.leader_.leading_)
        broadcast(c, leader_beat{{}, c.leader_.term_, {}, {}});
    c.leader_.leading_ = false;
    publish_status(c);
    publish_view(c);
    take_output(c, c.node_.leave(begun));
    const auto lingering = c.config_.directory_ttl_ + linger;
    for (;;) {
        co_await sleep_for(c, poll_period);
        const auto passed = base::boot_clock::now() - begun;
        if (passed > c.config_.grace_ - refuse_before_end)
            c.front_->refuse_new();
        const bool done =
            c.front_->active_requests() == 0 && passed > lingering;
        if (done || passed > c.config_.grace_ - exit_before_end)
            break;
    }
    take_output(c, c.node_.depart(base::boot_clock::now()));
    base::event_line("stopped")
        .field("daemon", c.config_.daemon_)
        .field("cut_requests", c.front_->active_requests());
    c.context_.stop();
}

} // namespace

asio::awaitable<void> run_signals(control& c)
{
    bool asked = false;
    for (;;) {
        const auto [failure, number] =
            co_await c.signals_.async_wait(base::await_tuple);
        if (failure)
            co_return;
        if (number == SIGHUP) {
            base::event_line("reload").field("daemon", c.config_.daemon_);
            continue;
        }
        if (asked)
            break;
        asked = true;
        asio::co_spawn(c.context_, stop_gracefully(c), asio::detached);
    }
    base::event_line("stopped_at_once", base::severity::warning)
        .field("cut_requests", c.front_->active_requests());
    c.context_.stop();
}

} // namespace monsoondock::entry::pvt
