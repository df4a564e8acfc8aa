#include "planner_state.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

// A stage order that shows no effect is repeated after this time, which is
// longer than any load.
constexpr std::chrono::milliseconds repeat_stage{40000};


const catalog::model* largest_model(const planning& p)
{
    const catalog::model* largest = nullptr;
    for (const catalog::model& m : p.f_.engine_->models_) {
        if (largest == nullptr || m.group_size_ > largest->group_size_)
            largest = &m;
    }
    return largest;
}


bool is_being_staged(const planning& p, const base::host_id& id)
{
    const auto told = p.s_.staging_.find(id);
    return told != p.s_.staging_.end() &&
           p.f_.now_ - told->second < repeat_stage;
}


/// Hosts of one domain that could help a group of the largest model.
struct spares
{
    unsigned with_weights_ = 0;
    std::vector<const fleet::host_fact*> without_;
};


std::map<base::fabric_domain_id, spares>
find_spares(const planning& p, const catalog::model& m)
{
    std::set<base::host_id> busy;
    for (const auto& [key, f] : p.s_.formations_) {
        if (f.model_ == m.name_ || f.phase_ == formation_phase::joining)
            busy.insert(f.members_.begin(), f.members_.end());
    }
    std::map<base::fabric_domain_id, spares> result;
    for (const auto& [id, host] : *p.f_.hosts_) {
        if (host.deployment_ != p.s_.deployment_ || busy.contains(id) ||
            !is_usable(p, id))
            continue;
        spares& s = result[host.domain_];
        if (weights_of(p, host, m) != weights_source::weight_store ||
            is_being_staged(p, id))
            ++s.with_weights_;
        else
            s.without_.push_back(&host);
    }
    return result;
}

} // namespace

void stage_spares(planning& p)
{
    const catalog::model* m = largest_model(p);
    if (m == nullptr || p.f_.engine_->models_.size() < 2)
        return;
    for (auto& [domain, s] : find_spares(p, *m)) {
        unsigned have = s.with_weights_;
        for (const fleet::host_fact* host : s.without_) {
            if (have >= p.s_.config_.staged_spares_ || !take_load(p))
                break;
            ++have;
            p.s_.staging_[host->id_] = p.f_.now_;
            base::event_line("staging")
                .field("host", host->id_)
                .field("model", m->name_)
                .field("domain", domain);
            send(p, {0, order_kind::stage, host->id_, {}, m->name_, {}});
        }
    }
}

} // namespace monsoondock::placement::pvt
