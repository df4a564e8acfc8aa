#include "planner_state.hpp"

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

formation
make_formation(const planning_step& step, const fleet::replica_group& g)
{
    formation f;
    f.key_ = g.key_;
    f.model_ = g.model_;
    f.domain_ = g.domain_;
    f.members_ = g.members_;
    for (const base::host_id& id : g.members_)
        f.process_start_ms_.push_back(find_host(step, id)->process_start_ms_);
    f.phase_start_ = step.input_.now_;
    f.join_deadline_ = step.input_.now_ + step.state_.config_.formation_slack_;
    if (const catalog::model* m = find_model(step, g.model_))
        f.join_deadline_ += 2 * m->load_time_;
    // Another planner may have sent an open order that has not taken effect.
    f.may_be_open_ = true;
    return f;
}


formation_phase initial_phase(const fleet::replica_group& g)
{
    // Unlisted members may come back, and an unlisted head may be open, so the
    // other members must leave before they join another group.
    if (!g.complete_)
        return formation_phase::dissolving;
    switch (*g.head_phase_) {
    case fleet::group_phase::open:
        return formation_phase::serving;
    case fleet::group_phase::closing:
        return formation_phase::closing;
    case fleet::group_phase::broken:
        return formation_phase::dissolving;
    case fleet::group_phase::joining:
    case fleet::group_phase::ready:
        break;
    }
    return formation_phase::joining;
}


// Expired entries of members can reappear while the group is being dissolved.
void add_members(
    const planning_step& step, formation& f, const fleet::replica_group& g)
{
    for (const base::host_id& id : g.members_) {
        const std::int64_t process_start_ms =
            find_host(step, id)->process_start_ms_;
        const auto known = std::find(f.members_.begin(), f.members_.end(), id);
        if (known != f.members_.end())
            continue;
        f.members_.push_back(id);
        f.process_start_ms_.push_back(process_start_ms);
    }
}

} // namespace

void adopt_groups(planning_step& step)
{
    for (const auto& [key, g] : step.groups_) {
        const auto present = step.state_.formations_.find(key);
        if (present != step.state_.formations_.end()) {
            if (present->second.phase_ == formation_phase::dissolving)
                add_members(step, present->second, g);
            continue;
        }
        const bool any_usable = std::any_of(
            g.members_.begin(), g.members_.end(), [&](const auto& id) {
                return is_usable(step, id);
            });
        if (!any_usable)
            continue;
        formation f = make_formation(step, g);
        f.phase_ = initial_phase(g);
        step.state_.formations_.emplace(key, std::move(f));
    }
}

} // namespace monsoondock::placement::pvt
