#include "planner_state.hpp"

namespace monsoondock::placement::pvt {

namespace {

bool head_may_serve(const fleet::replica_group& g)
{
    return g.head_phase_ == fleet::group_phase::open ||
           g.head_phase_ == fleet::group_phase::closing;
}


formation make_formation(const planning& p, const fleet::replica_group& g)
{
    formation f;
    f.key_ = g.key_;
    f.model_ = g.model_;
    f.domain_ = g.domain_;
    f.members_ = g.members_;
    for (const base::host_id& id : g.members_)
        f.born_ms_.push_back(find_host(p, id)->born_ms_);
    f.phase_start_ = p.f_.now_;
    f.give_up_ = p.f_.now_ + p.s_.config_.formation_slack_;
    if (const catalog::model* m = find_model(p, g.model_))
        f.give_up_ += 2 * m->load_time_;
    // Another planner may have sent an open that has not been carried out.
    f.may_open_ = true;
    return f;
}


formation_phase phase_of(const fleet::replica_group& g)
{
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


bool belongs_elsewhere(const planning& p, const fleet::replica_group& g)
{
    for (const auto& [key, f] : p.s_.formations_) {
        for (const base::host_id& id : f.members_) {
            for (const base::host_id& member : g.members_) {
                if (id == member)
                    return true;
            }
        }
    }
    return false;
}

} // namespace

void adopt_groups(planning& p)
{
    for (const auto& [key, g] : p.groups_) {
        if (p.s_.formations_.contains(key) || p.s_.ended_.contains(key))
            continue;
        // Without an open head the hosts are as good as free: the next join
        // has a higher epoch.
        if (!g.head_phase_ || (!g.complete_ && !head_may_serve(g)))
            continue;
        if (!head_may_serve(g) && belongs_elsewhere(p, g))
            continue;
        formation f = make_formation(p, g);
        f.phase_ = phase_of(g);
        p.s_.formations_.emplace(key, std::move(f));
    }
}

} // namespace monsoondock::placement::pvt
