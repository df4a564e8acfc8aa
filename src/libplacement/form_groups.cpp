#include "planner_state.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

using host_list = std::vector<const fleet::host_fact*>;
using free_by_domain = std::map<base::fabric_domain_id, host_list>;

// A model is short when it has this much less capacity for its demand than
// the best supplied one; it is then worth waiting for a load.
constexpr double short_ratio = 0.8;


bool counts_as_capacity(const formation& f)
{
    return f.phase_ == formation_phase::joining ||
           f.phase_ == formation_phase::opening ||
           f.phase_ == formation_phase::serving;
}


double hosts_of(const planning& p, const std::string& model)
{
    double hosts = 0;
    for (const auto& [key, f] : p.s_.formations_) {
        if (f.model_ == model && counts_as_capacity(f))
            hosts += double(f.members_.size());
    }
    return hosts;
}


double demand_of(const planning& p, const catalog::model& m)
{
    constexpr double smallest = 0.02;
    const auto found = p.f_.demand_.find(m.name_);
    return std::max(
        smallest,
        found == p.f_.demand_.end() ? m.expected_share_ : found->second);
}


// Hosts for each unit of demand.
double supply(const planning& p, const catalog::model& m, double more = 0)
{
    return (hosts_of(p, m.name_) + more) / demand_of(p, m);
}


std::vector<const catalog::model*> neediest_first(const planning& p)
{
    std::vector<const catalog::model*> models;
    for (const catalog::model& m : p.f_.engine_->models_)
        models.push_back(&m);
    std::stable_sort(models.begin(), models.end(), [&](auto* a, auto* b) {
        return supply(p, *a) < supply(p, *b);
    });
    return models;
}


/// Hosts of one domain that could form a group of a model.
struct candidate
{
    base::fabric_domain_id domain_;
    host_list hosts_;
    std::chrono::milliseconds time_{0};
    unsigned loads_ = 0;
};


std::optional<candidate> best_of_domain(
    const planning& p,
    const base::fabric_domain_id& domain,
    host_list hosts,
    const catalog::model& m)
{
    if (hosts.size() < m.group_size_)
        return std::nullopt;
    const auto time = [&](const fleet::host_fact* h) {
        return join_time(weights_of(p, *h, m), m);
    };
    std::stable_sort(hosts.begin(), hosts.end(), [&](auto* a, auto* b) {
        return time(a) < time(b);
    });
    hosts.resize(m.group_size_);
    candidate c{domain, hosts, time(hosts.back()), 0};
    for (const fleet::host_fact* h : hosts)
        c.loads_ += weights_of(p, *h, m) == weights_source::weight_store;
    return c;
}


std::optional<candidate> best_candidate(
    const planning& p, const free_by_domain& free, const catalog::model& m)
{
    std::optional<candidate> best;
    std::size_t most_free = 0;
    for (const auto& [domain, hosts] : free) {
        auto c = best_of_domain(p, domain, hosts, m);
        if (!c)
            continue;
        const bool better =
            !best || c->time_ < best->time_ ||
            (c->time_ == best->time_ && hosts.size() > most_free);
        if (!better)
            continue;
        best = std::move(c);
        most_free = hosts.size();
    }
    return best;
}


void start_formation(planning& p, const candidate& c, const catalog::model& m)
{
    formation f;
    f.key_.epoch_ = p.s_.epochs_();
    f.key_.name_ = "g" + std::to_string(f.key_.epoch_);
    f.model_ = m.name_;
    f.domain_ = c.domain_;
    for (const fleet::host_fact* h : c.hosts_) {
        f.members_.push_back(h->id_);
        f.born_ms_.push_back(h->born_ms_);
    }
    f.phase_start_ = p.f_.now_;
    f.head_listed_ = p.f_.now_;
    // Loads that run together slow each other down, by a factor of two at the
    // most under the load limit.
    const int slowdown = c.loads_ > 0 ? 2 : 1;
    f.give_up_ = p.f_.now_ + slowdown * c.time_ + p.s_.config_.formation_slack_;
    base::event_line("group_forming")
        .field("group", f.key_.name_)
        .field("model", f.model_)
        .field("domain", f.domain_)
        .field("head", f.members_.front())
        .field("loads", c.loads_)
        .field("expected", std::chrono::nanoseconds(c.time_));
    for (const base::host_id& id : f.members_)
        tell(p, f, id, order_kind::join);
    p.s_.formations_.emplace(f.key_, std::move(f));
}


void remove_hosts(free_by_domain& free, const candidate& c)
{
    std::erase_if(free[c.domain_], [&](const fleet::host_fact* h) {
        return std::find(c.hosts_.begin(), c.hosts_.end(), h) != c.hosts_.end();
    });
}


bool take_loads(planning& p, unsigned count)
{
    for (unsigned i = 0; i < count; ++i) {
        if (!take_load(p))
            return false;
    }
    return true;
}


// Returns the best group to form now: one of the neediest model, unless it
// would wait for a load while another model's group could serve at once and
// the neediest one is not short.
std::optional<std::pair<const catalog::model*, candidate>>
choose_next(const planning& p, const free_by_domain& free)
{
    std::optional<std::pair<const catalog::model*, candidate>> chosen;
    const auto models = neediest_first(p);
    for (const catalog::model* m : models) {
        auto c = best_candidate(p, free, *m);
        if (!c)
            continue;
        if (!chosen) {
            chosen = {m, std::move(*c)};
            continue;
        }
        const bool is_short =
            supply(p, *chosen->first) < short_ratio * supply(p, *models.back());
        const bool quicker = chosen->second.loads_ > 0 && c->loads_ == 0;
        if (quicker && !is_short && !p.f_.before_traffic_)
            chosen = {m, std::move(*c)};
    }
    return chosen;
}


// Returns true when a group in the domain is being closed for its hosts.
bool is_giving_up(const planning& p, const base::fabric_domain_id& domain)
{
    return std::any_of(
        p.s_.formations_.begin(), p.s_.formations_.end(), [&](const auto& e) {
            return e.second.domain_ == domain &&
                   e.second.phase_ == formation_phase::closing;
        });
}


formation* find_donor(
    planning& p, const base::fabric_domain_id& domain, const std::string& model)
{
    for (auto& [key, f] : p.s_.formations_) {
        if (f.domain_ == domain && f.model_ == model &&
            f.phase_ == formation_phase::serving)
            return &f;
    }
    return nullptr;
}


// Hosts among the donor's and the free ones that could join without a load.
std::size_t hosts_with_weights(
    const planning& p,
    const host_list& free,
    const formation& donor,
    const catalog::model& m)
{
    std::size_t count = 0;
    for (const fleet::host_fact* h : free)
        count += weights_of(p, *h, m) != weights_source::weight_store;
    for (const base::host_id& id : donor.members_) {
        const fleet::host_fact* h = find_host(p, id);
        if (h != nullptr)
            count += weights_of(p, *h, m) != weights_source::weight_store;
    }
    return count;
}


// Takes a group of a better supplied model apart when its hosts complete a
// group of the neediest one and the worst supply gets better by it.
void take_from_donor(planning& p, const free_by_domain& free)
{
    const auto models = neediest_first(p);
    const catalog::model& needy = *models.front();
    for (const auto& [domain, hosts] : free) {
        if (hosts.empty() || hosts.size() >= needy.group_size_ ||
            is_giving_up(p, domain))
            continue;
        for (const catalog::model* other : models) {
            formation* donor =
                other == &needy ? nullptr : find_donor(p, domain, other->name_);
            if (donor == nullptr ||
                hosts.size() + other->group_size_ < needy.group_size_)
                continue;
            const double before = supply(p, needy);
            const double after = supply(p, *other, -double(other->group_size_));
            if (after <= before ||
                hosts_with_weights(p, hosts, *donor, needy) < needy.group_size_)
                continue;
            base::event_line("group_closing")
                .field("group", donor->key_.name_)
                .field("reason", "hosts_for_other_model")
                .field("model", needy.name_);
            set_phase(p, *donor, formation_phase::closing);
            tell(p, *donor, donor->members_.front(), order_kind::close);
            return;
        }
    }
}


// While a donor closes, the free hosts of its domain wait for its hosts.
void hold_back_domains(const planning& p, free_by_domain& free)
{
    std::erase_if(
        free, [&](const auto& entry) { return is_giving_up(p, entry.first); });
}

} // namespace

std::map<base::fabric_domain_id, host_list> free_hosts(const planning& p)
{
    std::set<base::host_id> taken;
    for (const auto& [key, f] : p.s_.formations_)
        taken.insert(f.members_.begin(), f.members_.end());
    free_by_domain free;
    for (const auto& [id, host] : *p.f_.hosts_) {
        if (host.deployment_ != p.s_.deployment_ || taken.contains(id) ||
            !is_usable(p, id))
            continue;
        free[host.domain_].push_back(&host);
    }
    return free;
}


void form_groups(planning& p)
{
    free_by_domain free = free_hosts(p);
    take_from_donor(p, free);
    hold_back_domains(p, free);
    while (const auto next = choose_next(p, free)) {
        const auto& [model, c] = *next;
        remove_hosts(free, c);
        if (take_loads(p, c.loads_))
            start_formation(p, c, *model);
    }
}

} // namespace monsoondock::placement::pvt
