#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

// Records of suspects: what the store has, what is wanted there, the feed.

suspect_registry::entry&
suspect_registry::entry_of(const dispatch_query& question)
{
    const auto [found, fresh] = entries_.try_emplace(question.fingerprint_);
    entry& e = found->second;
    if (fresh) {
        e.question_ = question;
        e.question_.available_groups_.clear();
        if (const stored_suspect* stored = feed_.find(question.fingerprint_)) {
            e.stored_ = *stored;
            e.known_ = stored->version_;
        }
    }
    return e;
}


suspect_record suspect_registry::merged_record(const entry& e) const
{
    suspect_record merged;
    if (e.stored_) {
        merged = e.stored_->record_;
    } else {
        merged.fingerprint_ = e.question_.fingerprint_;
        merged.workspace_ = e.question_.workspace_;
        merged.deployment_ = e.question_.deployment_;
    }
    merged.lost_.insert(e.losses_.begin(), e.losses_.end());
    return merged;
}


bool suspect_registry::feed_fresh(clock_reading now) const
{
    return feed_started_ && now.boot_ - feed_contact_ <= timing_.feed_bound_;
}


// After a gap of the watch other daemons may still have losses to record.
bool suspect_registry::feed_settled(clock_reading now) const
{
    return feed_fresh(now) && now.boot_ - fresh_since_ >= timing_.hold_;
}


suspect_record suspect_registry::wanted_record(entry& e, clock_reading now)
{
    suspect_record target = merged_record(e);
    if (e.phase_ == trial_phase::wanted)
        replace_overdue_trial(e, target, now);
    if (is_quarantined(target)) {
        give_up_trial(e, quarantine_refusal::quarantined);
        target.trial_.reset();
    }
    if (e.phase_ == trial_phase::wanted)
        target.trial_ = e.trial_;
    const bool over =
        e.phase_ == trial_phase::succeeded || e.phase_ == trial_phase::ended;
    if (over && target.trial_ == e.trial_)
        target.trial_.reset();
    const bool grown = !e.stored_ || e.stored_->record_.lost_ != target.lost_;
    if (grown)
        target.lost_at_ = now.wall_;
    return target;
}


void suspect_registry::reconcile(entry& e, clock_reading now)
{
    if (e.outstanding_ || now.boot_ < e.not_before_)
        return;
    if (is_idle(e))
        return;
    suspect_record target = wanted_record(e, now);
    // An operator lifted the suspicion in the meantime.
    if (e.phase_ == trial_phase::wanted && target.lost_.empty()) {
        e.phase_ = trial_phase::none;
        ask_free(e.question_, now);
        return;
    }
    const bool cleared = e.phase_ == trial_phase::succeeded &&
                         e.losses_.empty() && !is_quarantined(target);
    if (cleared && e.stored_) {
        erase(e);
        return;
    }
    const bool same =
        e.stored_ ? e.stored_->record_ == target : target.lost_.empty();
    if (!same) {
        write(e, std::move(target));
        return;
    }
    const bool over =
        e.phase_ == trial_phase::succeeded || e.phase_ == trial_phase::ended;
    if (over)
        e.phase_ = trial_phase::none;
}


bool suspect_registry::is_idle(const entry& e)
{
    return e.phase_ == trial_phase::none && e.losses_.empty();
}


void suspect_registry::write(entry& e, suspect_record target)
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
    e.outstanding_ = id;
    e.written_ = std::move(target);
}


void suspect_registry::erase(entry& e)
{
    const store_call_id id = next_call();
    const suspect_fingerprint& fingerprint = e.question_.fingerprint_;
    commands_.emplace_back(erase_suspect{
        id, suspect_object_key(fingerprint), e.stored_->version_});
    calls_[id] = fingerprint;
    e.outstanding_ = id;
    e.written_.reset();
}


void suspect_registry::read(entry& e)
{
    const store_call_id id = next_call();
    const suspect_fingerprint& fingerprint = e.question_.fingerprint_;
    commands_.emplace_back(read_suspect{id, suspect_object_key(fingerprint)});
    calls_[id] = fingerprint;
    e.outstanding_ = id;
}


void suspect_registry::settle_written(
    entry& e, platform::version version, clock_reading now)
{
    e.known_ = std::max(e.known_, version);
    e.pause_ = std::chrono::milliseconds(0);
    if (e.written_) {
        e.stored_ = {std::move(*e.written_), version};
        for (const group_instance& group : e.stored_->record_.lost_)
            e.losses_.erase(group);
        e.written_.reset();
    } else {
        e.stored_.reset();
        if (e.phase_ == trial_phase::succeeded)
            e.phase_ = trial_phase::none;
    }
    reconcile(e, now);
    check_trial(e, now);
}


void suspect_registry::retry_later(entry& e, clock_reading now)
{
    e.pause_ = std::clamp(
        e.pause_ * 2, timing_.first_write_pause_, timing_.last_write_pause_);
    e.not_before_ = now.boot_ + e.pause_;
    give_up_trial(e, quarantine_refusal::store_unavailable);
}


void suspect_registry::learn_from_feed(clock_reading now)
{
    // What was lost before this daemon started is in the first listing, unless
    // the store was down until now.
    if (!feed_started_)
        fresh_since_ = now.boot_ - timing_.hold_;
    else if (!feed_fresh(now))
        fresh_since_ = now.boot_;
    feed_started_ = true;
    feed_contact_ = now.boot_;
    for (auto& [fingerprint, e] : entries_) {
        const stored_suspect* stored = feed_.find(fingerprint);
        if (stored && stored->version_ > e.known_) {
            e.stored_ = *stored;
            e.known_ = stored->version_;
        }
        if (!stored && feed_.version() >= e.known_ && !e.outstanding_)
            e.stored_.reset();
    }
    reconcile_all(now);
}


void suspect_registry::reconcile_all(clock_reading now)
{
    for (auto& [fingerprint, e] : entries_) {
        reconcile(e, now);
        check_trial(e, now);
    }
}


void suspect_registry::clean_up(clock_reading now)
{
    std::set<suspect_fingerprint> in_flight;
    for (const auto& [request, f] : flights_)
        in_flight.insert(f.fingerprint_);
    std::erase_if(entries_, [&in_flight](const auto& item) {
        const entry& e = item.second;
        return is_idle(e) && !e.outstanding_ && !in_flight.contains(item.first);
    });
    std::erase_if(entered_, [&](const entered_group& entered) {
        return now.boot_ - entered.entered_at_ >= timing_.hold_;
    });
    std::erase_if(lost_, [&](const lost_group& lost) {
        return !is_held(lost, now) &&
               now.boot_ - lost.lost_at_ > timing_.trial_bound_;
    });
}


store_call_id suspect_registry::next_call()
{
    return {++last_call_};
}

} // namespace monsoondock::quarantine
