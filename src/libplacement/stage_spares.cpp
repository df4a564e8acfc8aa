#include "planner_state.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

// A stage order that shows no effect is repeated after this time, which is
// longer than any load.
constexpr std::chrono::milliseconds repeat_stage{40000};
// While callers are served, no more than this share of the load limit goes
// to weights that are not needed yet.
constexpr std::size_t most_at_once = 4;


bool is_being_staged(const planning& p, const base::host_id& id)
{
    const auto told = p.s_.staging_.find(id);
    return told != p.s_.staging_.end() &&
           p.f_.now_ - told->second < repeat_stage;
}


// A host joins a group of the model that it last ran at once, so the weights
// that it keeps are best those of another model.
const catalog::model*
model_to_stage(const planning& p, const fleet::host_fact& host)
{
    const auto last = p.s_.last_models_.find(host.id_);
    if (last == p.s_.last_models_.end() || last->second.model_.empty())
        return nullptr;
    const catalog::model* chosen = nullptr;
    for (const catalog::model& m : p.f_.engine_->models_) {
        if (m.name_ == last->second.model_)
            continue;
        if (chosen == nullptr || m.group_size_ > chosen->group_size_)
            chosen = &m;
    }
    if (chosen == nullptr ||
        std::find(host.staged_.begin(), host.staged_.end(), chosen->name_) !=
            host.staged_.end())
        return nullptr;
    return chosen;
}


// Hosts that are about to join may still need the weights that they have.
std::set<base::host_id> joining_hosts(const planning& p)
{
    std::set<base::host_id> result;
    for (const auto& [key, f] : p.s_.formations_) {
        if (f.phase_ == formation_phase::joining)
            result.insert(f.members_.begin(), f.members_.end());
    }
    return result;
}


std::size_t stages_under_way(const planning& p)
{
    std::size_t count = 0;
    for (const auto& [id, told] : p.s_.staging_) {
        const fleet::host_fact* host = find_host(p, id);
        if (host == nullptr || !is_being_staged(p, id))
            continue;
        count += model_to_stage(p, *host) != nullptr ? 1 : 0;
    }
    return count;
}

} // namespace

void stage_spares(planning& p)
{
    std::size_t under_way = stages_under_way(p);
    const auto joining = joining_hosts(p);
    for (const auto& [id, host] : *p.f_.hosts_) {
        if (!p.f_.before_traffic_ && under_way >= most_at_once)
            return;
        if (host.deployment_ != p.s_.deployment_ || joining.contains(id) ||
            !is_usable(p, id) || is_being_staged(p, id))
            continue;
        const catalog::model* m = model_to_stage(p, host);
        if (m == nullptr || !take_load(p))
            continue;
        ++under_way;
        p.s_.staging_[id] = p.f_.now_;
        base::event_line("staging").field("host", id).field("model", m->name_);
        send(p, {0, order_kind::stage, id, {}, m->name_, {}});
    }
}

} // namespace monsoondock::placement::pvt
