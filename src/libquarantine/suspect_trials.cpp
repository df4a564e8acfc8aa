#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

// Trials: one suspect at a time on a group, in the order of the store.

void suspect_registry::ask_trial(
    entry& e, const dispatch_query& question, clock_reading now)
{
    if (!feed_settled(now)) {
        refuse(question.request_, quarantine_refusal::store_unavailable);
        return;
    }
    const auto& held = e.stored_ ? e.stored_->record_.trial_ : std::nullopt;
    if (held && !overdue(*held, now)) {
        refuse(question.request_, quarantine_refusal::on_trial_elsewhere);
        return;
    }
    e.question_ = question;
    const auto group = choose_trial_group(e, now);
    if (!group) {
        refuse(question.request_, quarantine_refusal::no_trial_group);
        return;
    }
    std::string token = token_prefix_;
    token.append(std::to_string(++last_token_));
    e.phase_ = trial_phase::wanted;
    e.trial_ = {*group, self_, std::move(token), now.wall_};
    reconcile(e, now);
}


void suspect_registry::give_up_trial(entry& e, quarantine_refusal reason)
{
    if (e.phase_ != trial_phase::wanted)
        return;
    e.phase_ = trial_phase::ended;
    refuse(e.question_.request_, reason);
}


// Gives leave when the trial is in the store and every earlier trial on its
// group is over. The order of versions decides between trials that were
// written at once, so two of them never both get leave.
void suspect_registry::check_trial(entry& e, clock_reading now)
{
    if (e.phase_ != trial_phase::wanted || e.outstanding_ || !e.stored_)
        return;
    if (e.stored_->record_.trial_ != e.trial_)
        return;
    if (!feed_settled(now) || feed_.version() < e.stored_->version_)
        return;
    const bool taken = group_on_trial(
        e.trial_.group_.group_,
        e.question_.fingerprint_,
        e.stored_->version_,
        now);
    if (taken || is_lost(e.trial_.group_)) {
        give_up_trial(e, quarantine_refusal::no_trial_group);
        reconcile(e, now);
        return;
    }
    e.phase_ = trial_phase::running;
    flights_[e.question_.request_] = {
        e.question_.fingerprint_, {}, false, true};
    commands_.emplace_back(
        permit_dispatch{e.question_.request_, {e.trial_.group_}});
}


// A trial whose daemon fell silent counts as a loss unless its group is still
// whole in the same generation.
void suspect_registry::replace_overdue_trial(
    entry& e, suspect_record& target, clock_reading now)
{
    if (!target.trial_ || target.trial_ == e.trial_)
        return;
    if (!overdue(*target.trial_, now)) {
        give_up_trial(e, quarantine_refusal::on_trial_elsewhere);
        return;
    }
    const auto& whole = e.question_.available_groups_;
    const bool survived =
        std::find(whole.begin(), whole.end(), target.trial_->group_) !=
        whole.end();
    if (!survived)
        target.lost_.insert(target.trial_->group_);
    target.trial_.reset();
}

} // namespace monsoondock::quarantine
