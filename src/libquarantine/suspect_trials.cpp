#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

// Trials of suspects: one at a time on a group, ordered by store version.

// Returns true for a trial of this start of this daemon.
bool suspect_registry::is_own(const trial& t) const
{
    return t.daemon_ == self_ && t.token_.starts_with(token_prefix_);
}


// Returns true when the store holds a trial of this daemon that has ended or
// was never permitted. It may differ from the latest trial: the write of an
// earlier one can take effect after this daemon has given it up.
bool suspect_registry::has_stale_trial(const suspect_entry& e) const
{
    if (!e.stored_ || !e.stored_->record_.trial_)
        return false;
    const trial& stored = *e.stored_->record_.trial_;
    const bool in_use =
        stored == e.trial_ && (e.phase_ == trial_phase::requested ||
                               e.phase_ == trial_phase::running);
    return is_own(stored) && !in_use;
}


void suspect_registry::request_trial(
    suspect_entry& e, const dispatch_query& query, clock_reading now)
{
    if (!is_feed_settled(now)) {
        refuse(query.request_, quarantine_refusal::store_unavailable);
        return;
    }
    const auto& held = e.stored_ ? e.stored_->record_.trial_ : std::nullopt;
    if (held && !is_overdue(*held, now)) {
        refuse(query.request_, quarantine_refusal::on_trial_elsewhere);
        return;
    }
    e.query_ = query;
    const auto group = choose_trial_group(e, now);
    if (!group) {
        refuse(query.request_, quarantine_refusal::no_trial_group);
        return;
    }
    std::string token = token_prefix_;
    token.append(std::to_string(++last_token_));
    e.phase_ = trial_phase::requested;
    e.trial_ = {*group, self_, std::move(token), now.wall_};
    reconcile(e, now);
}


void suspect_registry::cancel_trial(suspect_entry& e, quarantine_refusal reason)
{
    if (e.phase_ != trial_phase::requested)
        return;
    e.phase_ = trial_phase::ended;
    refuse(e.query_.request_, reason);
}


// Permits the dispatch when the trial is in the store and every earlier trial
// on its group is over. Of trials that are written concurrently the one with
// the lowest store version goes first, so that two are never both permitted.
void suspect_registry::check_trial(suspect_entry& e, clock_reading now)
{
    if (e.phase_ != trial_phase::requested || e.pending_call_ || !e.stored_)
        return;
    if (e.stored_->record_.trial_ != e.trial_)
        return;
    if (!is_feed_settled(now) || feed_.version() < e.stored_->version_)
        return;
    const bool group_busy = is_group_on_trial(
        e.trial_.group_.group_,
        e.query_.fingerprint_,
        e.stored_->version_,
        now);
    if (group_busy || is_lost(e.trial_.group_)) {
        cancel_trial(e, quarantine_refusal::no_trial_group);
        reconcile(e, now);
        return;
    }
    e.phase_ = trial_phase::running;
    in_flight_requests_[e.query_.request_] = {
        e.query_.fingerprint_, {}, false, true};
    commands_.emplace_back(
        permit_dispatch{e.query_.request_, {e.trial_.group_}});
}


// An overdue trial counts as a loss unless its group is still available in the
// same generation.
void suspect_registry::replace_overdue_trial(
    suspect_entry& e, suspect_record& target, clock_reading now)
{
    if (!target.trial_ || target.trial_ == e.trial_)
        return;
    if (!is_overdue(*target.trial_, now)) {
        cancel_trial(e, quarantine_refusal::on_trial_elsewhere);
        return;
    }
    const auto& available = e.query_.available_groups_;
    const bool survived =
        std::find(available.begin(), available.end(), target.trial_->group_) !=
        available.end();
    if (!survived)
        target.lost_.insert(target.trial_->group_);
    target.trial_.reset();
}

} // namespace monsoondock::quarantine
