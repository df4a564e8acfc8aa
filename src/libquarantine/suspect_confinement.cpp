#include <monsoondock/quarantine/confinement.hpp>
#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

// Selection of the groups on which a request may run.

bool suspect_registry::is_overdue(const trial& t, clock_reading now) const
{
    return now.wall_ - t.started_at_ > timing_.trial_timeout_;
}


bool suspect_registry::is_lost(const group_instance& group) const
{
    return std::any_of(
        lost_.begin(), lost_.end(), [&group](const lost_group& lost) {
            return lost.group_ == group;
        });
}


// The suspect record of a loss may arrive before this daemon's own state of the
// group shows the loss.
bool suspect_registry::is_recorded_lost(const group_instance& group) const
{
    return std::any_of(
        feed_.all().begin(), feed_.all().end(), [&group](const auto& item) {
            return item.second.record_.lost_.contains(group);
        });
}


bool suspect_registry::is_held(const lost_group& lost, clock_reading now) const
{
    return now.boot_ - lost.lost_at_ < timing_.hold_down_ ||
           !is_feed_settled(now);
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


bool suspect_registry::is_newly_added(
    const group_instance& group, clock_reading now) const
{
    return std::any_of(
        added_.begin(), added_.end(), [&](const added_group& added) {
            return added.group_ == group &&
                   now.boot_ - added.added_at_ < timing_.hold_down_;
        });
}


// Returns the groups that have a place in the ranking but get no requests. New
// groups are not excluded while all groups are new, since none of them has then
// displaced an older one.
std::set<base::group_id> suspect_registry::excluded_groups(
    const dispatch_query& query, clock_reading now) const
{
    auto excluded = held_groups(query.deployment_, now);
    std::set<base::group_id> newly_added;
    for (const group_instance& candidate : query.available_groups_)
        if (is_newly_added(candidate, now))
            newly_added.insert(candidate.group_);
    const bool older_group_held =
        std::any_of(lost_.begin(), lost_.end(), [&](const lost_group& lost) {
            return lost.deployment_ == query.deployment_ &&
                   is_held(lost, now) && !is_newly_added(lost.group_, now);
        });
    const bool all_new = !older_group_held &&
                         newly_added.size() == query.available_groups_.size();
    if (!all_new)
        excluded.merge(newly_added);
    return excluded;
}


std::vector<base::group_id> suspect_registry::ranked_groups(
    const dispatch_query& query, clock_reading now) const
{
    const auto held = held_groups(query.deployment_, now);
    std::vector<base::group_id> groups(held.begin(), held.end());
    for (const group_instance& candidate : query.available_groups_)
        groups.push_back(candidate.group_);
    return rank_groups(query.fingerprint_, query.prefix_, std::move(groups));
}


std::vector<group_instance> suspect_registry::confined_groups(
    const dispatch_query& query, clock_reading now) const
{
    if (harmless_.contains(query.fingerprint_))
        return query.available_groups_;
    const auto excluded = excluded_groups(query, now);
    auto ranked = ranked_groups(query, now);
    ranked.resize(std::min(ranked.size(), CONFINED_GROUPS));
    std::vector<group_instance> allowed;
    for (const group_instance& candidate : query.available_groups_) {
        const bool is_ranked =
            std::find(ranked.begin(), ranked.end(), candidate.group_) !=
            ranked.end();
        if (is_ranked && !excluded.contains(candidate.group_) &&
            !is_recorded_lost(candidate))
            allowed.push_back(candidate);
    }
    return allowed;
}


// Returns true when another suspect has a trial on the group that was written
// before the given version.
bool suspect_registry::is_group_on_trial(
    const base::group_id& group,
    const suspect_fingerprint& except,
    platform::version before,
    clock_reading now) const
{
    for (const auto& [fingerprint, stored] : feed_.all()) {
        const auto& t = stored.record_.trial_;
        if (!t || fingerprint == except || t->group_.group_ != group)
            continue;
        if (stored.version_ < before && !is_overdue(*t, now))
            return true;
    }
    return false;
}


// Prefers the remaining one of the groups to which copies are confined, even if
// the trial must wait for it: a copy that runs without a trial can only be
// there.
std::optional<group_instance> suspect_registry::choose_trial_group(
    const suspect_entry& e, clock_reading now) const
{
    const dispatch_query& query = e.query_;
    const auto excluded = excluded_groups(query, now);
    std::set<base::group_id> lost;
    for (const group_instance& group : merged_record(e).lost_)
        lost.insert(group.group_);
    const auto ranked = ranked_groups(query, now);
    std::optional<group_instance> fallback;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        const auto candidate = std::find_if(
            query.available_groups_.begin(),
            query.available_groups_.end(),
            [&](const group_instance& g) { return g.group_ == ranked[rank]; });
        const bool recorded = lost.contains(ranked[rank]);
        // A copy that ran there without a trial may have crashed the group, so
        // wait for the record of the loss.
        if (excluded.contains(ranked[rank]) && !recorded &&
            rank < CONFINED_GROUPS)
            return std::nullopt;
        if (candidate == query.available_groups_.end() ||
            excluded.contains(ranked[rank]))
            continue;
        const bool busy = is_group_on_trial(
            ranked[rank], query.fingerprint_, {UINT64_MAX}, now);
        if (recorded) {
            if (!busy && !fallback)
                fallback = *candidate;
            continue;
        }
        if (!busy)
            return *candidate;
        if (rank < CONFINED_GROUPS)
            return std::nullopt;
    }
    return fallback;
}


void suspect_registry::permit_confined(
    const dispatch_query& query, clock_reading now)
{
    auto groups = confined_groups(query, now);
    if (groups.empty()) {
        refuse(query.request_, quarantine_refusal::confined_groups_lost);
        return;
    }
    in_flight_requests_[query.request_] = {
        query.fingerprint_, {}, false, false};
    commands_.emplace_back(permit_dispatch{query.request_, std::move(groups)});
}

} // namespace monsoondock::quarantine
