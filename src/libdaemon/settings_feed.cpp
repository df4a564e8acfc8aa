#include "settings_feed.hpp"

#include "prefix_feed.hpp"
#include "settings_control.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/settings/settings_head.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds MIN_INTERVAL{200};
constexpr std::chrono::milliseconds FETCH_RETRY_DELAY{200};
constexpr std::chrono::milliseconds COLD_START_LIMIT{3000};
constexpr std::chrono::milliseconds COLD_START_POLL{100};


asio::awaitable<void>
sleep_for(control_state& state, std::chrono::milliseconds time)
{
    asio::steady_timer timer(state.context_, time);
    co_await timer.async_wait(asio::use_awaitable);
}


void apply_head(control_state& state, const platform::object& object)
{
    const auto head = settings::parse_head_json(object.value_);
    if (const auto* faults = std::get_if<settings::findings>(&head)) {
        base::event_line("settings_head_invalid", base::severity::error)
            .field("reason", to_string(faults->at(0)));
        return;
    }
    state.settings_tracker_.on_head(
        std::get<settings::settings_head>(head), object.version_);
}


/// Fetches one object. Returns false when the store did not answer.
asio::awaitable<bool> fetch(control_state& state, std::string key)
{
    const auto read = co_await state.store_.get(key);
    if (!base::ok(read))
        co_return false;
    const auto& object = base::value(read);
    if (object)
        state.settings_tracker_.on_object(*object);
    else
        state.settings_tracker_.on_missing(key);
    apply_settings(state);
    co_return true;
}


/// Sleeps until wake is cancelled.
asio::awaitable<void> wait_until_cancelled(asio::steady_timer& wake)
{
    wake.expires_at(asio::steady_timer::time_point::max());
    co_await wake.async_wait(asio::as_tuple(asio::use_awaitable));
}


/// Fetches the objects of a new settings head one at a time, to limit the load
/// on the store when 470 daemons learn of the head at the same time.
asio::awaitable<void> fetch_wanted_objects(
    control_state& state, std::shared_ptr<asio::steady_timer> wake)
{
    for (;;) {
        const auto keys = state.settings_tracker_.missing_keys();
        if (keys.empty()) {
            co_await wait_until_cancelled(*wake);
            continue;
        }
        const bool answered = co_await fetch(state, keys.front());
        if (!answered)
            co_await sleep_for(state, FETCH_RETRY_DELAY);
    }
}


/// Applies the settings when the cold-start deadline passes, which no event
/// announces.
asio::awaitable<void> poll_cold_start(control_state& state)
{
    while (state.settings_ == nullptr) {
        co_await sleep_for(state, COLD_START_POLL);
        apply_settings(state);
    }
}

} // namespace

asio::awaitable<void> run_settings_feed(control_state& state)
{
    state.cold_start_.deadline_ = base::boot_clock::now() + COLD_START_LIMIT;
    apply_settings(state);
    const auto wake = std::make_shared<asio::steady_timer>(state.context_);
    asio::co_spawn(
        state.context_, fetch_wanted_objects(state, wake), asio::detached);
    asio::co_spawn(state.context_, poll_cold_start(state), asio::detached);
    feed_handlers handlers;
    handlers.on_list_ = [&state](const platform::listing& all) {
        state.cold_start_.store_answered_ = true;
        for (const platform::object& object : all.objects_)
            apply_head(state, object);
    };
    handlers.on_change_ = [&state](const platform::change& c) {
        if (!c.deleted_)
            apply_head(state, c.object_);
    };
    handlers.on_batch_end_ = [&state, wake] {
        apply_settings(state);
        wake->cancel();
    };
    co_await follow_prefix(
        state,
        std::string(settings::HEAD_KEY),
        std::move(handlers),
        MIN_INTERVAL);
}


void apply_peer_settings(
    control_state& state,
    const base::daemon_id& peer,
    std::string_view bundle_json)
{
    settings::on_peer_answer(state.cold_start_, peer);
    if (!bundle_json.empty()) {
        const auto bundle = settings::parse_bundle_json(bundle_json);
        if (const auto* b = std::get_if<settings::settings_bundle>(&bundle))
            state.settings_tracker_.on_bundle(*b);
        else
            base::event_line("settings_bundle_invalid", base::severity::warning)
                .field("peer", peer);
    }
    apply_settings(state);
}

} // namespace monsoondock::daemon
