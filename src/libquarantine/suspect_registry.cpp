#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

suspect_registry::suspect_registry(
    base::daemon_id self, std::string token_prefix, quarantine_timing timing)
    : self_(std::move(self)), token_prefix_(std::move(token_prefix)),
      timing_(timing)
{}


suspect_registry::commands suspect_registry::request_permit(
    const dispatch_query& question, clock_reading now)
{
    // A request that asks while it is in flight would be lost sight of.
    if (flights_.contains(question.request_)) {
        refuse(question.request_, quarantine_refusal::on_trial_elsewhere);
        return take_commands();
    }
    entry& e = entry_of(question);
    const suspect_record merged = merged_record(e);
    if (is_quarantined(merged))
        refuse(question.request_, quarantine_refusal::quarantined);
    else if (
        e.phase_ == trial_phase::wanted || e.phase_ == trial_phase::running)
        refuse(question.request_, quarantine_refusal::on_trial_elsewhere);
    else if (merged.lost_.empty())
        ask_free(question, now);
    else
        ask_trial(e, question, now);
    return take_commands();
}


void suspect_registry::dispatched(
    const base::request_id& request, const group_instance& group)
{
    const auto found = flights_.find(request);
    if (found == flights_.end())
        return;
    found->second.group_ = group;
    found->second.dispatched_ = true;
}


suspect_registry::commands
suspect_registry::completed(const base::request_id& request, clock_reading now)
{
    const auto found = flights_.find(request);
    if (found == flights_.end())
        return {};
    const flight f = std::move(found->second);
    flights_.erase(found);
    entry& e = entries_.at(f.fingerprint_);
    if (f.trial_)
        e.phase_ = trial_phase::succeeded;
    if (f.trial_ || merged_record(e).lost_.empty())
        remember_harmless(f.fingerprint_);
    reconcile(e, now);
    return take_commands();
}


suspect_registry::commands suspect_registry::trial_passed(
    const base::request_id& request, clock_reading now)
{
    const auto found = flights_.find(request);
    if (found == flights_.end() || !found->second.trial_)
        return {};
    found->second.trial_ = false;
    entry& e = entries_.at(found->second.fingerprint_);
    e.phase_ = trial_phase::succeeded;
    reconcile(e, now);
    return take_commands();
}


suspect_registry::commands
suspect_registry::abandoned(const base::request_id& request, clock_reading now)
{
    const auto found = flights_.find(request);
    if (found != flights_.end()) {
        entry& e = entries_.at(found->second.fingerprint_);
        if (found->second.trial_)
            e.phase_ = trial_phase::ended;
        flights_.erase(found);
        reconcile(e, now);
        return take_commands();
    }
    for (auto& [fingerprint, e] : entries_) {
        const bool waits =
            e.phase_ == trial_phase::wanted && e.question_.request_ == request;
        if (!waits)
            continue;
        e.phase_ = trial_phase::ended;
        reconcile(e, now);
    }
    return take_commands();
}


void suspect_registry::group_left(
    const base::deployment_id& deployment,
    const group_instance& group,
    clock_reading now)
{
    if (!is_lost(group))
        lost_.push_back({deployment, group, now.boot_});
}


void suspect_registry::group_entered(
    const group_instance& group, clock_reading now)
{
    entered_.push_back({group, now.boot_});
}


void suspect_registry::group_lost(
    const base::deployment_id& deployment,
    const group_instance& group,
    clock_reading now)
{
    group_left(deployment, group, now);
    for (auto f = flights_.begin(); f != flights_.end();) {
        if (!f->second.dispatched_ || f->second.group_ != group) {
            ++f;
            continue;
        }
        entry& e = entries_.at(f->second.fingerprint_);
        e.losses_.insert(group);
        if (f->second.trial_)
            e.phase_ = trial_phase::ended;
        harmless_.erase(f->second.fingerprint_);
        f = flights_.erase(f);
    }
}


suspect_registry::commands suspect_registry::write_answered(
    store_call_id id, const platform::write_outcome& outcome, clock_reading now)
{
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return {};
    entry& e = entries_.at(call->second);
    calls_.erase(call);
    e.outstanding_.reset();
    if (const auto* done = std::get_if<platform::written>(&outcome))
        settle_written(e, done->version_, now);
    else if (std::holds_alternative<platform::not_reached>(outcome))
        retry_later(e, now);
    else
        read(e);
    return take_commands();
}


suspect_registry::commands suspect_registry::read_answered(
    store_call_id id,
    const std::optional<platform::object>& object,
    clock_reading now)
{
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return {};
    entry& e = entries_.at(call->second);
    calls_.erase(call);
    e.outstanding_.reset();
    e.stored_.reset();
    if (object) {
        auto decoded = decode_suspect(object->value_);
        if (base::ok(decoded))
            e.stored_ = {base::value(std::move(decoded)), object->version_};
        e.known_ = std::max(e.known_, object->version_);
    }
    reconcile(e, now);
    check_trial(e, now);
    return take_commands();
}


suspect_registry::commands
suspect_registry::read_failed(store_call_id id, clock_reading now)
{
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return {};
    entry& e = entries_.at(call->second);
    calls_.erase(call);
    e.outstanding_.reset();
    retry_later(e, now);
    return take_commands();
}


suspect_registry::commands suspect_registry::feed_listed(
    const platform::listing& listing, clock_reading now)
{
    feed_.apply(listing);
    learn_from_feed(now);
    return take_commands();
}


suspect_registry::commands suspect_registry::feed_changed(
    const platform::change_batch& batch, clock_reading now)
{
    feed_.apply(batch);
    learn_from_feed(now);
    return take_commands();
}


suspect_registry::commands suspect_registry::tick(clock_reading now)
{
    reconcile_all(now);
    clean_up(now);
    return take_commands();
}


void suspect_registry::refuse(
    const base::request_id& request, quarantine_refusal reason)
{
    const bool final = reason == quarantine_refusal::quarantined;
    commands_.emplace_back(refuse_dispatch{
        request,
        reason,
        final ? std::chrono::milliseconds(0) : timing_.retry_after_});
}


void suspect_registry::remember_harmless(const suspect_fingerprint& fingerprint)
{
    if (harmless_.size() >= timing_.harmless_limit_)
        harmless_.clear();
    harmless_.insert(fingerprint);
}


suspect_registry::commands suspect_registry::take_commands()
{
    return std::exchange(commands_, {});
}

} // namespace monsoondock::quarantine
