#include "suspect_control.hpp"

#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>
#include <utility>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

using quarantine::group_instance;

constexpr std::chrono::milliseconds TICK_PERIOD{100};
constexpr std::chrono::milliseconds STORE_RETRY_DELAY{500};
// Must be shorter than quarantine_timing::max_feed_age_, or the suspect
// registry would refuse trials whenever no suspect changes.
constexpr std::chrono::milliseconds WATCH_TIMEOUT{10000};

using published_group = std::pair<base::deployment_id, group_instance>;


asio::awaitable<void>
sleep_for(control_state& state, std::chrono::milliseconds time)
{
    asio::steady_timer timer(state.context_, time);
    co_await timer.async_wait(asio::use_awaitable);
}


asio::awaitable<void> put(control_state& state, quarantine::put_suspect c)
{
    const auto outcome =
        co_await state.store_.put(c.key_, c.value_, c.condition_);
    state.suspects_.write_answered(c.id_, outcome);
}


asio::awaitable<void> erase(control_state& state, quarantine::erase_suspect c)
{
    const auto outcome = co_await state.store_.erase(c.key_, c.version_);
    state.suspects_.write_answered(c.id_, outcome);
}


asio::awaitable<void> read(control_state& state, quarantine::read_suspect c)
{
    const auto found = co_await state.store_.get(c.key_);
    if (base::ok(found))
        state.suspects_.read_answered(c.id_, base::value(found));
    else
        state.suspects_.read_failed(c.id_);
}


asio::awaitable<void>
call_store(control_state& state, quarantine::quarantine_command command)
{
    if (auto* c = std::get_if<quarantine::put_suspect>(&command))
        co_await put(state, std::move(*c));
    else if (auto* e = std::get_if<quarantine::erase_suspect>(&command))
        co_await erase(state, std::move(*e));
    else if (auto* r = std::get_if<quarantine::read_suspect>(&command))
        co_await read(state, std::move(*r));
}


std::set<published_group> published_groups(const control_state& state)
{
    std::set<published_group> groups;
    for (const traffic::group_row& row : state.groups_)
        groups.insert({row.deployment_, {row.group_, row.generation_}});
    return groups;
}


asio::awaitable<void> run_ticks(control_state& state)
{
    std::set<published_group> before;
    for (;;) {
        auto groups = published_groups(state);
        for (const auto& [deployment, group] : before)
            if (!groups.contains({deployment, group}))
                state.suspects_.group_withdrawn(deployment, group);
        for (const auto& [deployment, group] : groups)
            if (!before.contains({deployment, group}))
                state.suspects_.group_added(group);
        before = std::move(groups);
        state.suspects_.tick();
        co_await sleep_for(state, TICK_PERIOD);
    }
}


// Lists the suspects, then watches for changes until the store fails.
asio::awaitable<void> follow_suspects(control_state& state)
{
    const std::string prefix(quarantine::SUSPECT_PREFIX);
    const auto listed = co_await state.store_.list(prefix);
    if (!base::ok(listed))
        co_return;
    state.suspects_.feed_listed(base::value(listed));
    auto from = base::value(listed).version_;
    for (;;) {
        const auto batch =
            co_await state.store_.watch(prefix, from, WATCH_TIMEOUT);
        if (!base::ok(batch))
            co_return;
        from = base::value(batch).next_;
        state.suspects_.feed_changed(base::value(batch));
    }
}

} // namespace

void connect_suspect_registry(control_state& state)
{
    state.suspects_.set_store([&state](const auto& command) {
        asio::co_spawn(
            state.context_, call_store(state, command), asio::detached);
    });
}


asio::awaitable<void> run_suspect_control(control_state& state)
{
    asio::co_spawn(state.context_, run_ticks(state), asio::detached);
    for (;;) {
        co_await follow_suspects(state);
        co_await sleep_for(state, STORE_RETRY_DELAY);
    }
}

} // namespace monsoondock::daemon
