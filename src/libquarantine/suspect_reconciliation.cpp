#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

// Reconciliation of the suspect records in the store with the local state.

suspect_registry::suspect_entry&
suspect_registry::find_or_add_entry(const dispatch_query& query)
{
    const auto [found, inserted] = entries_.try_emplace(query.fingerprint_);
    suspect_entry& e = found->second;
    if (inserted) {
        e.query_ = query;
        e.query_.available_groups_.clear();
        if (const stored_suspect* stored = feed_.find(query.fingerprint_)) {
            e.stored_ = *stored;
            e.latest_version_ = stored->version_;
        }
    }
    return e;
}


suspect_record suspect_registry::merged_record(const suspect_entry& e) const
{
    suspect_record merged;
    if (e.stored_) {
        merged = e.stored_->record_;
    } else {
        merged.fingerprint_ = e.query_.fingerprint_;
        merged.workspace_ = e.query_.workspace_;
        merged.deployment_ = e.query_.deployment_;
    }
    merged.lost_.insert(
        e.unrecorded_losses_.begin(), e.unrecorded_losses_.end());
    return merged;
}


bool suspect_registry::is_feed_fresh(clock_reading now) const
{
    return feed_started_ &&
           now.boot_ - last_feed_update_ <= timing_.max_feed_age_;
}


// Returns true when the watch has been up for hold_down_. Before that, other
// daemons may still have to record losses from the time of the interruption.
bool suspect_registry::is_feed_settled(clock_reading now) const
{
    return is_feed_fresh(now) &&
           now.boot_ - feed_fresh_since_ >= timing_.hold_down_;
}


suspect_record
suspect_registry::target_record(suspect_entry& e, clock_reading now)
{
    suspect_record target = merged_record(e);
    if (!e.stored_) {
        target.parts_ = e.query_.parts_;
        std::erase_if(target.parts_, [&](crashes::prompt_part part) {
            return part_tracker_.has_survived(part, now.boot_);
        });
    }
    if (has_stale_trial(e))
        target.trial_.reset();
    if (e.phase_ == trial_phase::requested)
        replace_overdue_trial(e, target, now);
    if (is_quarantined(target)) {
        cancel_trial(e, quarantine_refusal::quarantined);
        target.trial_.reset();
    }
    if (e.phase_ == trial_phase::requested)
        target.trial_ = e.trial_;
    const bool has_new_losses =
        !e.stored_ || e.stored_->record_.lost_ != target.lost_;
    if (has_new_losses)
        target.lost_at_ = now.wall_;
    return target;
}


void suspect_registry::reconcile(suspect_entry& e, clock_reading now)
{
    if (e.pending_call_ || now.boot_ < e.next_write_at_)
        return;
    if (is_idle(e))
        return;
    suspect_record target = target_record(e, now);
    // The suspect record was deleted in the meantime, as by an operator who
    // lifted the quarantine.
    if (e.phase_ == trial_phase::requested && target.lost_.empty()) {
        e.phase_ = trial_phase::none;
        permit_confined(e.query_, now);
        return;
    }
    const bool cleared = e.phase_ == trial_phase::succeeded &&
                         e.unrecorded_losses_.empty() &&
                         !is_quarantined(target);
    if (cleared && e.stored_) {
        erase(e);
        return;
    }
    const bool up_to_date =
        e.stored_ ? e.stored_->record_ == target : target.lost_.empty();
    if (!up_to_date) {
        write(e, std::move(target));
        return;
    }
    const bool trial_over =
        e.phase_ == trial_phase::succeeded || e.phase_ == trial_phase::ended;
    if (trial_over)
        e.phase_ = trial_phase::none;
}


bool suspect_registry::is_idle(const suspect_entry& e) const
{
    return e.phase_ == trial_phase::none && e.unrecorded_losses_.empty() &&
           !has_stale_trial(e);
}


void suspect_registry::write(suspect_entry& e, suspect_record target)
{
    const store_call_id id = next_call();
    platform::write_condition condition = platform::if_absent{};
    if (e.stored_)
        condition = platform::if_version{e.stored_->version_};
    commands_.emplace_back(put_suspect{
        id,
        suspect_object_key(target.fingerprint_),
        encode(target),
        condition});
    calls_[id] = target.fingerprint_;
    e.pending_call_ = id;
    e.pending_record_ = std::move(target);
}


void suspect_registry::erase(suspect_entry& e)
{
    const store_call_id id = next_call();
    const suspect_fingerprint& fingerprint = e.query_.fingerprint_;
    commands_.emplace_back(erase_suspect{
        id, suspect_object_key(fingerprint), e.stored_->version_});
    calls_[id] = fingerprint;
    e.pending_call_ = id;
    e.pending_record_.reset();
}


void suspect_registry::read(suspect_entry& e)
{
    const store_call_id id = next_call();
    const suspect_fingerprint& fingerprint = e.query_.fingerprint_;
    commands_.emplace_back(read_suspect{id, suspect_object_key(fingerprint)});
    calls_[id] = fingerprint;
    e.pending_call_ = id;
}


void suspect_registry::apply_write(
    suspect_entry& e, platform::version version, clock_reading now)
{
    e.latest_version_ = std::max(e.latest_version_, version);
    e.backoff_ = std::chrono::milliseconds(0);
    if (e.pending_record_) {
        e.stored_ = {std::move(*e.pending_record_), version};
        for (const group_instance& group : e.stored_->record_.lost_)
            e.unrecorded_losses_.erase(group);
        e.pending_record_.reset();
    } else {
        e.stored_.reset();
        if (e.phase_ == trial_phase::succeeded)
            e.phase_ = trial_phase::none;
    }
    reconcile(e, now);
    check_trial(e, now);
}


void suspect_registry::schedule_retry(suspect_entry& e, clock_reading now)
{
    e.backoff_ = std::clamp(
        e.backoff_ * 2,
        timing_.initial_write_backoff_,
        timing_.max_write_backoff_);
    e.next_write_at_ = now.boot_ + e.backoff_;
    cancel_trial(e, quarantine_refusal::store_unavailable);
}


void suspect_registry::merge_feed(clock_reading now)
{
    // The first listing counts as settled, because it holds the losses from
    // before the start of this daemon. It lacks those that other daemons could
    // not record yet if the store was unavailable until now.
    if (!feed_started_)
        feed_fresh_since_ = now.boot_ - timing_.hold_down_;
    else if (!is_feed_fresh(now))
        feed_fresh_since_ = now.boot_;
    feed_started_ = true;
    last_feed_update_ = now.boot_;
    add_entries_of_own_trials();
    apply_recorded_parts(now);
    for (auto& [fingerprint, e] : entries_) {
        const stored_suspect* stored = feed_.find(fingerprint);
        if (stored && stored->version_ > e.latest_version_) {
            e.stored_ = *stored;
            e.latest_version_ = stored->version_;
        }
        if (!stored && feed_.version() >= e.latest_version_ && !e.pending_call_)
            e.stored_.reset();
    }
    reconcile_all(now);
}


// A trial can reach the store after its entry was purged, if the store did not
// respond to its write.
void suspect_registry::add_entries_of_own_trials()
{
    for (const auto& [fingerprint, stored] : feed_.all()) {
        const suspect_record& record = stored.record_;
        if (!record.trial_ || !is_own(*record.trial_))
            continue;
        dispatch_query query;
        query.workspace_ = record.workspace_;
        query.deployment_ = record.deployment_;
        query.fingerprint_ = fingerprint;
        find_or_add_entry(query);
    }
}


void suspect_registry::reconcile_all(clock_reading now)
{
    for (auto& [fingerprint, e] : entries_) {
        reconcile(e, now);
        check_trial(e, now);
    }
}


void suspect_registry::purge_expired(clock_reading now)
{
    std::set<suspect_fingerprint> in_flight;
    for (const auto& [request, f] : in_flight_requests_)
        in_flight.insert(f.fingerprint_);
    // An entry is kept until the watch shows its latest write, because an older
    // record may still hold its trial.
    std::erase_if(entries_, [&](const auto& item) {
        const suspect_entry& e = item.second;
        return is_idle(e) && !e.pending_call_ &&
               !in_flight.contains(item.first) &&
               feed_.version() >= e.latest_version_;
    });
    std::erase_if(added_, [&](const added_group& added) {
        return now.boot_ - added.added_at_ >= timing_.hold_down_;
    });
    std::erase_if(lost_, [&](const lost_group& lost) {
        return !is_held(lost, now) &&
               now.boot_ - lost.lost_at_ > timing_.trial_timeout_;
    });
}


store_call_id suspect_registry::next_call()
{
    return {++last_call_};
}

} // namespace monsoondock::quarantine
