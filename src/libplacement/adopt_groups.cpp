#include "planner_state.hpp"

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

formation make_formation(const planning& p, const fleet::replica_group& g)
{
    formation f;
    f.key_ = g.key_;
    f.model_ = g.model_;
    f.domain_ = g.domain_;
    f.members_ = g.members_;
    for (const base::host_id& id : g.members_)
        f.process_start_ms_.push_back(find_host(p, id)->process_start_ms_);
    f.phase_start_ = p.input_.now_;
    f.give_up_ = p.input_.now_ + p.s_.config_.formation_slack_;
    if (const catalog::model* m = find_model(p, g.model_))
        f.give_up_ += 2 * m->load_time_;
    // Another planner may have sent an open that has not been carried out.
    f.may_open_ = true;
    return f;
}


formation_phase phase_of(const fleet::replica_group& g)
{
    // Members that are not seen may come back, and the head may be open
    // though it is not listed, so the others leave before they go elsewhere.
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


// Entries that had lapsed can come back while the group is being given up.
void add_members(const planning& p, formation& f, const fleet::replica_group& g)
{
    for (const base::host_id& id : g.members_) {
        const std::int64_t process_start_ms =
            find_host(p, id)->process_start_ms_;
        const auto known = std::find(f.members_.begin(), f.members_.end(), id);
        if (known != f.members_.end())
            continue;
        f.members_.push_back(id);
        f.process_start_ms_.push_back(process_start_ms);
    }
}

} // namespace

void adopt_groups(planning& p)
{
    for (const auto& [key, g] : p.groups_) {
        const auto present = p.s_.formations_.find(key);
        if (present != p.s_.formations_.end()) {
            if (present->second.phase_ == formation_phase::dissolving)
                add_members(p, present->second, g);
            continue;
        }
        const bool any_usable = std::any_of(
            g.members_.begin(), g.members_.end(), [&](const auto& id) {
                return is_usable(p, id);
            });
        if (!any_usable)
            continue;
        formation f = make_formation(p, g);
        f.phase_ = phase_of(g);
        p.s_.formations_.emplace(key, std::move(f));
    }
}

} // namespace monsoondock::placement::pvt
