#include "settings_control.hpp"

#include <monsoondock/base/event_line.hpp>

#include <boost/json.hpp>

namespace monsoondock::daemon {

namespace json = boost::json;

namespace {

void publish_page(control_state& state)
{
    const settings::revision_tracker& tracker = state.settings_tracker_;
    const auto in_force =
        state.settings_ ? state.settings_->revision_ : settings::revision{};
    json::array faults;
    for (const settings::finding& fault : tracker.faults())
        faults.emplace_back(to_string(fault));
    const json::object page{
        {"daemon", state.config_.daemon_.value_},
        {"in_force", in_force.value_},
        {"latest_known", tracker.latest().value_},
        {"applied", tracker.counts().applied_},
        {"refused_older", tracker.counts().refused_},
        {"invalid", tracker.counts().invalid_},
        {"faults", std::move(faults)}};
    state.admin_pages_.publish("settings", json::serialize(page));
}

} // namespace

void apply_settings(control_state& state)
{
    const settings::revision_tracker& tracker = state.settings_tracker_;
    const bool first = state.settings_ == nullptr;
    const bool must_wait =
        first && !settings::may_serve(
                     state.cold_start_, tracker, base::boot_clock::now());
    if (!must_wait && state.settings_ != tracker.in_force()) {
        state.settings_ = tracker.in_force();
        base::event_line("settings_applied")
            .field("daemon", state.config_.daemon_)
            .field("revision", state.settings_->revision_.value_);
        publish_snapshot(state);
    }
    publish_page(state);
}

} // namespace monsoondock::daemon
