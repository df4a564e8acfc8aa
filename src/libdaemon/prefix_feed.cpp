#include "prefix_feed.hpp"

#include <monsoondock/base/event_line.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds initial_backoff{100};
constexpr std::chrono::milliseconds max_backoff{2000};


asio::awaitable<void>
sleep_for(control_state& state, std::chrono::milliseconds time)
{
    asio::steady_timer timer(state.context_, time);
    co_await timer.async_wait(asio::use_awaitable);
}


// Sleeps for a random time between half of backoff and backoff, then doubles
// backoff up to its maximum.
asio::awaitable<void>
back_off(control_state& state, std::chrono::milliseconds& backoff)
{
    std::uniform_int_distribution<std::int64_t> jitter(
        backoff.count() / 2, backoff.count());
    co_await sleep_for(state, std::chrono::milliseconds(jitter(state.random_)));
    backoff = std::min(backoff * 2, max_backoff);
}


void log_store_failure(const std::string& prefix, const base::problem& p)
{
    base::event_line("store_unreachable", base::severity::warning)
        .field("prefix", prefix)
        .field("reason", base::to_string(p));
}


// Watches from a version on, until the store fails or no longer has the history
// since that version.
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
            handlers.on_change_(c);
        if (changes.empty())
            continue;
        handlers.on_batch_end_();
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
    std::chrono::milliseconds backoff = initial_backoff;
    for (;;) {
        auto listed = co_await state.store_.list(prefix);
        if (!base::ok(listed)) {
            log_store_failure(prefix, base::error(listed));
            co_await back_off(state, backoff);
            continue;
        }
        handlers.on_list_(base::value(listed));
        handlers.on_batch_end_();
        backoff = initial_backoff;
        const auto failure = co_await watch_changes(
            state,
            prefix,
            handlers,
            base::value(listed).version_,
            min_interval);
        log_store_failure(prefix, failure);
        co_await back_off(state, backoff);
    }
}

} // namespace monsoondock::daemon
