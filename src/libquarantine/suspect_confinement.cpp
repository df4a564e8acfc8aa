#include <monsoondock/quarantine/confinement.hpp>
#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

// Where a request may run: places of lost, entering and standing groups.

bool suspect_registry::overdue(const trial& t, clock_reading now) const
{
    return now.wall_ - t.started_at_ > timing_.trial_bound_;
}


bool suspect_registry::is_lost(const group_instance& group) const
{
    return std::any_of(
        lost_.begin(), lost_.end(), [&group](const lost_group& lost) {
            return lost.group_ == group;
        });
}


// The record of a loss tells of it earlier than this daemon's view of the
// group may.
bool suspect_registry::is_recorded_lost(const group_instance& group) const
{
    return std::any_of(
        feed_.all().begin(), feed_.all().end(), [&group](const auto& item) {
            return item.second.record_.lost_.contains(group);
        });
}


bool suspect_registry::is_held(const lost_group& lost, clock_reading now) const
{
    return now.boot_ - lost.lost_at_ < timing_.hold_ || !feed_settled(now);
}


std::set<base::group_id> suspect_registry::held_groups(
    const base::deployment_id& deployment, clock_reading now) const
{
    std::set<base::group_id> held;
    for (const lost_group& lost : lost_)
        if (lost.deployment_ == deployment && is_held(lost, now))
            held.insert(lost.group_.group_);
    return held;
}


bool suspect_registry::is_entering(
    const group_instance& group, clock_reading now) const
{
    return std::any_of(
        entered_.begin(), entered_.end(), [&](const entered_group& entered) {
            return entered.group_ == group &&
                   now.boot_ - entered.entered_at_ < timing_.hold_;
        });
}


// Groups that have a place in the ranking and take no request. While all of
// them are new, none has displaced an older one, so none is barred for that.
std::set<base::group_id> suspect_registry::barred_groups(
    const dispatch_query& question, clock_reading now) const
{
    auto barred = held_groups(question.deployment_, now);
    std::set<base::group_id> entering;
    for (const group_instance& whole : question.available_groups_)
        if (is_entering(whole, now))
            entering.insert(whole.group_);
    const bool old_one_held =
        std::any_of(lost_.begin(), lost_.end(), [&](const lost_group& lost) {
            return lost.deployment_ == question.deployment_ &&
                   is_held(lost, now) && !is_entering(lost.group_, now);
        });
    const bool all_new =
        !old_one_held && entering.size() == question.available_groups_.size();
    if (!all_new)
        barred.merge(entering);
    return barred;
}


std::vector<base::group_id> suspect_registry::ranking(
    const dispatch_query& question, clock_reading now) const
{
    const auto held = held_groups(question.deployment_, now);
    std::vector<base::group_id> groups(held.begin(), held.end());
    for (const group_instance& whole : question.available_groups_)
        groups.push_back(whole.group_);
    return rank_groups(
        question.fingerprint_, question.prefix_, std::move(groups));
}


std::vector<group_instance> suspect_registry::confine(
    const dispatch_query& question, clock_reading now) const
{
    if (harmless_.contains(question.fingerprint_))
        return question.available_groups_;
    const auto barred = barred_groups(question, now);
    auto ranked = ranking(question, now);
    ranked.resize(std::min(ranked.size(), CONFINED_GROUPS));
    std::vector<group_instance> allowed;
    for (const group_instance& whole : question.available_groups_) {
        const bool inside =
            std::find(ranked.begin(), ranked.end(), whole.group_) !=
            ranked.end();
        if (inside && !barred.contains(whole.group_) &&
            !is_recorded_lost(whole))
            allowed.push_back(whole);
    }
    return allowed;
}


// True when another suspect holds a trial on the group that was written
// before the given version.
bool suspect_registry::group_on_trial(
    const base::group_id& group,
    const suspect_fingerprint& except,
    platform::version before,
    clock_reading now) const
{
    for (const auto& [fingerprint, stored] : feed_.all()) {
        const auto& t = stored.record_.trial_;
        if (!t || fingerprint == except || t->group_.group_ != group)
            continue;
        if (stored.version_ < before && !overdue(*t, now))
            return true;
    }
    return false;
}


// The other group of the pair to which copies are confined comes first, even
// when it has to be waited for: a copy that runs free can only be there.
std::optional<group_instance>
suspect_registry::choose_trial_group(const entry& e, clock_reading now) const
{
    const dispatch_query& q = e.question_;
    const auto barred = barred_groups(q, now);
    std::set<base::group_id> lost;
    for (const group_instance& group : merged_record(e).lost_)
        lost.insert(group.group_);
    const auto ranked = ranking(q, now);
    std::optional<group_instance> last_choice;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        const auto whole = std::find_if(
            q.available_groups_.begin(),
            q.available_groups_.end(),
            [&](const group_instance& g) { return g.group_ == ranked[rank]; });
        const bool recorded = lost.contains(ranked[rank]);
        // A copy that ran free there may have lost it; wait for its record.
        if (barred.contains(ranked[rank]) && !recorded &&
            rank < CONFINED_GROUPS)
            return std::nullopt;
        if (whole == q.available_groups_.end() || barred.contains(ranked[rank]))
            continue;
        const bool busy =
            group_on_trial(ranked[rank], q.fingerprint_, {UINT64_MAX}, now);
        if (recorded) {
            if (!busy && !last_choice)
                last_choice = *whole;
            continue;
        }
        if (!busy)
            return *whole;
        if (rank < CONFINED_GROUPS)
            return std::nullopt;
    }
    return last_choice;
}


void suspect_registry::ask_free(
    const dispatch_query& question, clock_reading now)
{
    auto groups = confine(question, now);
    if (groups.empty()) {
        refuse(question.request_, quarantine_refusal::confined_groups_lost);
        return;
    }
    flights_[question.request_] = {question.fingerprint_, {}, false, false};
    commands_.emplace_back(
        permit_dispatch{question.request_, std::move(groups)});
}

} // namespace monsoondock::quarantine
