#include "candidates.hpp"
#include "donations.hpp"
#include "supply.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

/// A group that could be formed, and what that is worth.
struct proposal
{
    const catalog::model* model_ = nullptr;
    candidate hosts_;
    /// Gain over the horizon of the first of its hosts, so that the sizes of
    /// groups do not matter.
    double value_ = 0;
};


std::size_t groups_in(
    const planning& p,
    const base::fabric_domain_id& domain,
    const catalog::model& m)
{
    return static_cast<std::size_t>(std::count_if(
        p.s_.formations_.begin(), p.s_.formations_.end(), [&](const auto& e) {
            return e.second.domain_ == domain && e.second.model_ == m.name_;
        }));
}


bool is_largest(const planning& p, const catalog::model& m)
{
    return std::all_of(
        p.input_.engine_->models_.begin(),
        p.input_.engine_->models_.end(),
        [&](const auto& other) { return other.group_size_ <= m.group_size_; });
}


// Large groups are spread over the domains, so that the loss of one takes as
// few as possible. Small ones fill the domains where fewest hosts are free,
// which leaves room for large ones elsewhere.
bool is_better_domain(
    const planning& p,
    const free_by_domain& free,
    const base::fabric_domain_id& a,
    const base::fabric_domain_id& b,
    const catalog::model& m)
{
    if (!is_largest(p, m))
        return free.at(a).size() < free.at(b).size();
    const std::size_t in_a = groups_in(p, a, m);
    const std::size_t in_b = groups_in(p, b, m);
    if (in_a != in_b)
        return in_a < in_b;
    return free.at(a).size() > free.at(b).size();
}


// Returns the group whose hosts are put to best use: by the need for its
// model and by how soon it can serve, a load included.
std::optional<proposal>
choose_next(const planning& p, const free_by_domain& free)
{
    std::optional<proposal> best;
    for (const catalog::model& m : p.input_.engine_->models_) {
        for (const auto& [domain, hosts] : free) {
            if (is_kept_for_other(p, domain, m))
                continue;
            auto c = best_of_domain(p, domain, hosts, m);
            if (!c)
                continue;
            const double value = gain(p, m, 1) * seconds_left(p, c->time_);
            const bool better =
                !best || value > best->value_ ||
                (value == best->value_ && best->model_ == &m &&
                 is_better_domain(p, free, domain, best->hosts_.domain_, m));
            if (better)
                best = proposal{&m, std::move(*c), value};
        }
    }
    return best;
}


formation
make_formation(planning& p, const candidate& c, const catalog::model& m)
{
    formation f;
    f.key_.epoch_ = p.s_.epochs_();
    f.key_.name_ = "g" + std::to_string(f.key_.epoch_);
    f.model_ = m.name_;
    f.domain_ = c.domain_;
    for (const fleet::host_info* h : c.hosts_) {
        f.members_.push_back(h->id_);
        f.process_start_ms_.push_back(h->process_start_ms_);
    }
    f.phase_start_ = p.input_.now_;
    // Loads that run together slow each other down, by a factor of two at the
    // most under the load limit.
    const int slowdown = c.loads_ > 0 ? 2 : 1;
    f.give_up_ =
        p.input_.now_ + slowdown * c.time_ + p.s_.config_.formation_slack_;
    return f;
}


void start_formation(planning& p, const candidate& c, const catalog::model& m)
{
    formation f = make_formation(p, c, m);
    base::event_line("group_forming")
        .field("group", f.key_.name_)
        .field("model", f.model_)
        .field("domain", f.domain_)
        .field("head", f.members_.front())
        .field("loads", c.loads_)
        .field("needed", needed_by(p, m))
        .field("hosts", hosts_of(p, m.name_))
        .field("expected", std::chrono::nanoseconds(c.time_));
    for (const base::host_id& id : f.members_)
        tell(p, f, id, order_kind::join);
    p.s_.formations_.emplace(f.key_, std::move(f));
}


// Has the hosts that lack the weights load them; the others stay free, so
// that a better use of them can still come up.
void load_weights(planning& p, const candidate& c, const catalog::model& m)
{
    for (const fleet::host_info* h : c.hosts_) {
        const host_readiness r = readiness_of(p, *h, m);
        if (r.source_ == weights_source::weight_store && !r.loading_ &&
            !is_loading(p, h->id_) &&
            loads_under_way(p) < p.input_.engine_->parallel_loads_ &&
            take_load(p))
            stage(p, *h, m);
    }
}


void remove_hosts(free_by_domain& free, const candidate& c)
{
    std::erase_if(free[c.domain_], [&](const fleet::host_info* h) {
        return std::find(c.hosts_.begin(), c.hosts_.end(), h) != c.hosts_.end();
    });
}


// Returns true when a host of the domain was listed a moment ago; others may
// follow.
bool is_gathering(const planning& p, const host_list& hosts)
{
    return std::any_of(hosts.begin(), hosts.end(), [&](const auto* h) {
        const auto last = p.s_.last_models_.find(h->id_);
        return last != p.s_.last_models_.end() &&
               p.input_.now_ - last->second.listed_at_ <
                   p.s_.config_.domain_settle_time_;
    });
}


// While a donor closes, the free hosts of its domain wait for its hosts.
void hold_back_domains(const planning& p, free_by_domain& free)
{
    std::erase_if(free, [&](const auto& entry) {
        return is_giving_up(p, entry.first) || is_gathering(p, entry.second);
    });
}

} // namespace

free_by_domain free_hosts(const planning& p)
{
    std::set<base::host_id> taken;
    for (const auto& [key, f] : p.s_.formations_) {
        for (std::size_t i = 0; i < f.members_.size(); ++i) {
            if (!has_left(p.s_, f.members_[i], f.process_start_ms_[i], f.key_))
                taken.insert(f.members_[i]);
        }
    }
    free_by_domain free;
    for (const auto& [id, host] : p.hosts_) {
        // A host that is listed in a group has to leave it first.
        if (host.deployment_ != p.s_.deployment_ || taken.contains(id) ||
            host.role_ || !is_usable(p, id))
            continue;
        free[host.domain_].push_back(&host);
    }
    return free;
}


void form_groups(planning& p)
{
    free_by_domain free = free_hosts(p);
    take_from_donors(p, free);
    hold_back_domains(p, free);
    while (const auto next = choose_next(p, free)) {
        if (next->hosts_.loads_ == 0 || p.input_.before_traffic_)
            start_formation(p, next->hosts_, *next->model_);
        else
            load_weights(p, next->hosts_, *next->model_);
        remove_hosts(free, next->hosts_);
    }
}

} // namespace monsoondock::placement::pvt
