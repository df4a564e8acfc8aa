#include "candidates.hpp"
#include "supply.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

// A stage order that shows no effect is repeated after this time, which is
// longer than any load.
constexpr std::chrono::milliseconds repeat_stage{40000};
// Loads for hosts that serve nobody come first: others begin only while less
// than this part of the parallel loads is in use.
constexpr unsigned spare_divisor = 2;


/// A host that could load the weights of a model that it does not run.
struct possible_load
{
    const fleet::host_info* host_ = nullptr;
    const catalog::model* model_ = nullptr;
    double value_ = 0;
};


// Hosts outside of groups of the model, by domain, that could form one.
std::map<base::fabric_domain_id, unsigned>
hosts_at_hand(const planning& p, const catalog::model& m)
{
    std::map<base::fabric_domain_id, unsigned> count;
    std::set<base::host_id> inside;
    for (const auto& [key, f] : p.s_.formations_) {
        if (f.model_ == m.name_)
            inside.insert(f.members_.begin(), f.members_.end());
    }
    for (const auto& [id, host] : p.hosts_) {
        if (host.deployment_ != p.s_.deployment_ || inside.contains(id) ||
            !is_usable(p, id))
            continue;
        const host_readiness r = readiness_of(p, host, m);
        count[host.domain_] +=
            r.source_ != weights_source::weight_store || r.loading_ ? 1 : 0;
    }
    return count;
}


// Hosts in groups keep their own model in memory, so the weights that they
// hold are best those of another one. Hosts of groups that are about to form
// may still need what they have.
std::set<base::host_id> hosts_to_leave(const planning& p)
{
    std::set<base::host_id> result;
    for (const auto& [key, f] : p.s_.formations_) {
        if (f.phase_ != formation_phase::serving)
            result.insert(f.members_.begin(), f.members_.end());
    }
    return result;
}


// A host that has run another model keeps that one in memory.
bool runs_or_ran(
    const planning& p, const fleet::host_info& host, const catalog::model& m)
{
    const auto last = p.s_.last_models_.find(host.id_);
    return last != p.s_.last_models_.end() && !last->second.model_.empty() &&
           last->second.model_ != m.name_;
}


std::vector<possible_load> possible_loads(const planning& p)
{
    const auto leave = hosts_to_leave(p);
    std::vector<possible_load> loads;
    for (const catalog::model& m : p.input_.engine_->models_) {
        const auto at_hand = hosts_at_hand(p, m);
        for (const auto& [id, host] : p.hosts_) {
            if (host.deployment_ != p.s_.deployment_ || leave.contains(id) ||
                !runs_or_ran(p, host, m) || !is_usable(p, id) ||
                is_loading(p, id) || has_weights(p, host, m))
                continue;
            const auto have = at_hand.find(host.domain_);
            const unsigned near = have == at_hand.end() ? 0 : have->second;
            // Domains that are close to a whole group come first; beyond one
            // whole group a host more is worth little.
            const double closeness = near < m.group_size_ ? 1.0 + near : 0.5;
            loads.push_back({&host, &m, gain(p, m, 1) * closeness});
        }
    }
    std::stable_sort(loads.begin(), loads.end(), [](auto& a, auto& b) {
        return a.value_ > b.value_;
    });
    return loads;
}

} // namespace

bool is_loading(const planning& p, const base::host_id& id)
{
    const auto told = p.s_.staging_.find(id);
    if (told == p.s_.staging_.end() ||
        p.input_.now_ - told->second.told_at_ > repeat_stage)
        return false;
    const fleet::host_info* host = find_host(p, id);
    const catalog::model* m = find_model(p, told->second.model_);
    return host != nullptr && m != nullptr && !has_weights(p, *host, *m);
}


std::size_t loads_under_way(const planning& p)
{
    std::size_t count = 0;
    for (const auto& [id, told] : p.s_.staging_)
        count += is_loading(p, id) ? 1 : 0;
    return count;
}


void stage(planning& p, const fleet::host_info& host, const catalog::model& m)
{
    p.s_.staging_[host.id_] = {m.name_, p.input_.now_};
    base::event_line("staging")
        .field("host", host.id_)
        .field("model", m.name_)
        .field("domain", host.domain_);
    send(p, {0, order_kind::stage, host.id_, {}, m.name_, {}});
}


void stage_spares(planning& p)
{
    const std::size_t limit = p.input_.before_traffic_
                                  ? p.hosts_.size()
                                  : p.input_.engine_->parallel_loads_;
    std::size_t under_way = loads_under_way(p);
    std::set<base::host_id> chosen;
    for (const possible_load& load : possible_loads(p)) {
        if (under_way >= limit)
            return;
        if (!chosen.insert(load.host_->id_).second)
            continue;
        if (!take_load(p))
            return;
        ++under_way;
        stage(p, *load.host_, *load.model_);
    }
}

} // namespace monsoondock::placement::pvt
