#include "prefix_feed.hpp"

#include <monsoondock/base/event_line.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds first_pause{100};
constexpr std::chrono::milliseconds longest_pause{2000};


asio::awaitable<void>
sleep_for(control_state& state, std::chrono::milliseconds time)
{
    asio::steady_timer timer(state.context_, time);
    co_await timer.async_wait(asio::use_awaitable);
}


// Waits between half and all of pause, then doubles it up to its bound.
asio::awaitable<void>
back_off(control_state& state, std::chrono::milliseconds& pause)
{
    std::uniform_int_distribution<std::int64_t> jitter(
        pause.count() / 2, pause.count());
    co_await sleep_for(state, std::chrono::milliseconds(jitter(state.random_)));
    pause = std::min(pause * 2, longest_pause);
}


void log_failure(const std::string& prefix, const base::problem& p)
{
    base::event_line("store_unreachable", base::severity::warning)
        .field("prefix", prefix)
        .field("reason", base::to_string(p));
}


// Watches from a version on until the store fails or forgets it.
asio::awaitable<base::problem> watch_changes(
    control_state& state,
    const std::string& prefix,
    const feed_handlers& handlers,
    platform::version from,
    std::chrono::milliseconds min_interval)
{
    for (;;) {
        auto batch = co_await state.store_.watch(
            prefix, from, state.config_.timeouts_.watch_);
        if (!base::ok(batch))
            co_return base::error(batch);
        from = base::value(batch).next_;
        const auto& changes = base::value(batch).changes_;
        for (const platform::change& c : changes)
            handlers.change_(c);
        if (changes.empty())
            continue;
        handlers.settled_();
        co_await sleep_for(state, min_interval);
    }
}

} // namespace

asio::awaitable<void> follow_prefix(
    control_state& state,
    std::string prefix,
    feed_handlers handlers,
    std::chrono::milliseconds min_interval)
{
    std::chrono::milliseconds pause = first_pause;
    for (;;) {
        auto listed = co_await state.store_.list(prefix);
        if (!base::ok(listed)) {
            log_failure(prefix, base::error(listed));
            co_await back_off(state, pause);
            continue;
        }
        handlers.reset_(base::value(listed));
        handlers.settled_();
        pause = first_pause;
        const auto ended = co_await watch_changes(
            state,
            prefix,
            handlers,
            base::value(listed).version_,
            min_interval);
        log_failure(prefix, ended);
        co_await back_off(state, pause);
    }
}

} // namespace monsoondock::daemon
