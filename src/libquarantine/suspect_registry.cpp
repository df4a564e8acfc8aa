#include "run_of.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

using pvt::run_of;

suspect_registry::suspect_registry(
    base::daemon_id self, std::string token_prefix, quarantine_timing timing)
    : self_(std::move(self)), token_prefix_(std::move(token_prefix)),
      timing_(timing), part_tracker_({timing.part_trial_interval_, false})
{}


suspect_registry::commands
suspect_registry::request_permit(const dispatch_query& query, clock_reading now)
{
    // A second permit would overwrite the state of the request in flight.
    if (in_flight_requests_.contains(query.request_)) {
        refuse(query.request_, quarantine_refusal::on_trial_elsewhere);
        return take_commands();
    }
    if (is_rejected_for_parts(query, now)) {
        refuse(query.request_, quarantine_refusal::part_quarantined);
        return take_commands();
    }
    suspect_entry& e = find_or_add_entry(query);
    const suspect_record merged = merged_record(e);
    if (is_quarantined(merged))
        refuse(query.request_, quarantine_refusal::quarantined);
    else if (
        e.phase_ == trial_phase::requested || e.phase_ == trial_phase::running)
        refuse(query.request_, quarantine_refusal::on_trial_elsewhere);
    else if (merged.lost_.empty())
        permit_confined(query, now);
    else
        request_trial(e, query, now);
    return take_commands();
}


// The number that a trial needs is drawn from the request's id, since the
// registry has no other source of random numbers.
bool suspect_registry::is_rejected_for_parts(
    const dispatch_query& query, clock_reading now)
{
    constexpr double hash_range = 18446744073709551616.0;
    const auto hash = base::stable_hash(query.request_.value_);
    return part_tracker_.find_quarantined(query.parts_, now.boot_) &&
           !part_tracker_.admit_trial(
               query.parts_,
               query.daemons_,
               static_cast<double>(hash) / hash_range,
               now.boot_);
}


void suspect_registry::dispatched(
    const base::request_id& request, const group_instance& group)
{
    const auto found = in_flight_requests_.find(request);
    if (found == in_flight_requests_.end())
        return;
    found->second.group_ = group;
    found->second.dispatched_ = true;
}


suspect_registry::commands
suspect_registry::completed(const base::request_id& request, clock_reading now)
{
    const auto found = in_flight_requests_.find(request);
    if (found == in_flight_requests_.end())
        return {};
    const in_flight_request f = std::move(found->second);
    in_flight_requests_.erase(found);
    suspect_entry& e = entries_.at(f.fingerprint_);
    if (f.trial_)
        e.phase_ = trial_phase::succeeded;
    part_tracker_.add_completion(e.query_.parts_, run_of(f.group_), now.boot_);
    if (f.trial_ || merged_record(e).lost_.empty())
        remember_harmless(f.fingerprint_);
    reconcile(e, now);
    return take_commands();
}


suspect_registry::commands suspect_registry::trial_passed(
    const base::request_id& request, clock_reading now)
{
    const auto found = in_flight_requests_.find(request);
    if (found == in_flight_requests_.end() || !found->second.trial_)
        return {};
    found->second.trial_ = false;
    suspect_entry& e = entries_.at(found->second.fingerprint_);
    e.phase_ = trial_phase::succeeded;
    reconcile(e, now);
    return take_commands();
}


suspect_registry::commands
suspect_registry::abandoned(const base::request_id& request, clock_reading now)
{
    const auto found = in_flight_requests_.find(request);
    if (found != in_flight_requests_.end()) {
        suspect_entry& e = entries_.at(found->second.fingerprint_);
        if (found->second.trial_)
            e.phase_ = trial_phase::ended;
        in_flight_requests_.erase(found);
        reconcile(e, now);
        return take_commands();
    }
    for (auto& [fingerprint, e] : entries_) {
        const bool waits =
            e.phase_ == trial_phase::requested && e.query_.request_ == request;
        if (!waits)
            continue;
        e.phase_ = trial_phase::ended;
        reconcile(e, now);
    }
    return take_commands();
}


void suspect_registry::group_withdrawn(
    const base::deployment_id& deployment,
    const group_instance& group,
    clock_reading now)
{
    if (!is_lost(group))
        lost_.push_back({deployment, group, now.boot_});
}


void suspect_registry::group_added(
    const group_instance& group, clock_reading now)
{
    added_.push_back({group, now.boot_});
}


void suspect_registry::group_lost(
    const base::deployment_id& deployment,
    const group_instance& group,
    clock_reading now)
{
    group_withdrawn(deployment, group, now);
    for (auto f = in_flight_requests_.begin();
         f != in_flight_requests_.end();) {
        if (!f->second.dispatched_ || f->second.group_ != group) {
            ++f;
            continue;
        }
        suspect_entry& e = entries_.at(f->second.fingerprint_);
        e.unrecorded_losses_.insert(group);
        part_tracker_.add_crash(
            {e.query_.parts_,
             run_of(group),
             base::stable_hash(f->second.fingerprint_.value_),
             false},
            part_report_delay(),
            now.boot_);
        if (f->second.trial_)
            e.phase_ = trial_phase::ended;
        harmless_.erase(f->second.fingerprint_);
        f = in_flight_requests_.erase(f);
    }
}


suspect_registry::commands suspect_registry::write_answered(
    store_call_id id, const platform::write_outcome& outcome, clock_reading now)
{
    if (parts_call_ == id) {
        parts_answered(outcome, now);
        return take_commands();
    }
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return {};
    suspect_entry& e = entries_.at(call->second);
    calls_.erase(call);
    e.pending_call_.reset();
    if (const auto* done = std::get_if<platform::written>(&outcome))
        apply_write(e, done->version_, now);
    else if (std::holds_alternative<platform::not_reached>(outcome))
        schedule_retry(e, now);
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
    suspect_entry& e = entries_.at(call->second);
    calls_.erase(call);
    e.pending_call_.reset();
    e.stored_.reset();
    if (object) {
        auto decoded = decode_suspect(object->value_);
        if (base::ok(decoded))
            e.stored_ = {base::value(std::move(decoded)), object->version_};
        e.latest_version_ = std::max(e.latest_version_, object->version_);
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
    suspect_entry& e = entries_.at(call->second);
    calls_.erase(call);
    e.pending_call_.reset();
    schedule_retry(e, now);
    return take_commands();
}


suspect_registry::commands suspect_registry::feed_listed(
    const platform::listing& listing, clock_reading now)
{
    feed_.apply(listing);
    merge_feed(now);
    return take_commands();
}


suspect_registry::commands suspect_registry::feed_changed(
    const platform::change_batch& batch, clock_reading now)
{
    feed_.apply(batch);
    merge_feed(now);
    return take_commands();
}


suspect_registry::commands suspect_registry::tick(clock_reading now)
{
    reconcile_all(now);
    purge_expired(now);
    write_parts(now);
    return take_commands();
}


void suspect_registry::refuse(
    const base::request_id& request, quarantine_refusal reason)
{
    std::chrono::milliseconds retry_after = timing_.retry_after_;
    if (reason == quarantine_refusal::quarantined)
        retry_after = std::chrono::milliseconds(0);
    if (reason == quarantine_refusal::part_quarantined)
        retry_after = timing_.part_retry_after_;
    commands_.emplace_back(refuse_dispatch{request, reason, retry_after});
}


std::vector<crashes::part_quarantine> suspect_registry::take_quarantined_parts()
{
    return part_tracker_.take_quarantined();
}


void suspect_registry::remember_harmless(const suspect_fingerprint& fingerprint)
{
    if (harmless_.size() >= timing_.max_harmless_)
        harmless_.clear();
    harmless_.insert(fingerprint);
}


suspect_registry::commands suspect_registry::take_commands()
{
    return std::exchange(commands_, {});
}

} // namespace monsoondock::quarantine
