#include "claim_sweep.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/claims/sweep.hpp>
#include <monsoondock/settings/effective.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

// Each key range is swept about once per cycle.
constexpr std::chrono::hours SWEEP_CYCLE{1};
constexpr std::chrono::milliseconds MIN_SWEEP_INTERVAL{10000};
constexpr std::size_t MAX_DELETES_PER_RANGE = 50;
constexpr std::chrono::milliseconds DELETE_PERIOD{100};


asio::awaitable<void>
sleep_for(control_state& state, std::chrono::milliseconds time)
{
    asio::steady_timer timer(state.context_, time);
    co_await timer.async_wait(asio::use_awaitable);
}


// Claims of a service that is no longer in the settings are kept as long as
// unresolved ones, the longest retention.
claims::claim_retention
retention_of(const control_state& state, const base::deployment_id& service)
{
    claims::claim_retention retention;
    retention.finished_ = retention.unresolved_;
    if (state.settings_ == nullptr)
        return retention;
    const auto found = settings::effective(
        *state.settings_, {state.config_.data_centre_, service, std::nullopt});
    if (base::ok(found))
        retention.finished_ = base::value(found).claims_.retention_.value_;
    return retention;
}


std::vector<base::daemon_id> sweepers(const control_state& state)
{
    std::vector<base::daemon_id> daemons =
        state.snapshots_.get()->live_daemons_;
    daemons.push_back(state.config_.daemon_);
    return daemons;
}


std::chrono::milliseconds sweep_interval(std::size_t daemons)
{
    const std::chrono::milliseconds cycle = SWEEP_CYCLE;
    const auto step = cycle * daemons / claims::SWEEP_RANGE_COUNT;
    return std::max<std::chrono::milliseconds>(step, MIN_SWEEP_INTERVAL);
}


// Returns the next range after the given one that this daemon sweeps, or the
// given one when no other range is assigned to it.
unsigned next_range(
    const control_state& state,
    unsigned after,
    const std::vector<base::daemon_id>& daemons)
{
    for (unsigned step = 1; step < claims::SWEEP_RANGE_COUNT; ++step) {
        const unsigned range = (after + step) % claims::SWEEP_RANGE_COUNT;
        if (claims::is_sweeper(range, state.config_.daemon_, daemons))
            return range;
    }
    return after;
}


asio::awaitable<void> sweep_range(control_state& state, unsigned range)
{
    const auto listed = co_await state.store_.list(claims::sweep_prefix(range));
    if (!base::ok(listed))
        co_return;
    const auto now = std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    const auto plan = claims::plan_sweep(
        base::value(listed),
        [&state](const auto& service) { return retention_of(state, service); },
        now,
        MAX_DELETES_PER_RANGE);
    for (const claims::expired_claim& claim : plan) {
        co_await state.store_.erase(claim.key_, claim.version_);
        co_await sleep_for(state, DELETE_PERIOD);
    }
    if (!plan.empty())
        base::event_line("claims_swept")
            .field("range", range)
            .field("deleted", plan.size());
}

} // namespace

asio::awaitable<void> run_claim_sweep(control_state& state)
{
    auto range =
        static_cast<unsigned>(state.random_() % claims::SWEEP_RANGE_COUNT);
    for (;;) {
        const auto daemons = sweepers(state);
        co_await sleep_for(state, sweep_interval(daemons.size()));
        if (state.settings_ == nullptr)
            continue;
        range = next_range(state, range, daemons);
        co_await sweep_range(state, range);
    }
}

} // namespace monsoondock::daemon
