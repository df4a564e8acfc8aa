#include "planner_state.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/placement/shortage.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

using host_list = std::vector<const fleet::host_fact*>;
using free_by_domain = std::map<base::fabric_domain_id, host_list>;

// Use of all hosts that is expected before any request was measured.
constexpr double expected_use = 0.5;
// A group that closes for its hosts serves nobody for about this time.
constexpr double closing_s = 1.5;


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


double needed_by(const planning& p, const catalog::model& m)
{
    const auto measured = p.f_.needed_hosts_.find(m.name_);
    if (measured != p.f_.needed_hosts_.end())
        return measured->second;
    return m.expected_share_ * expected_use * double(p.f_.hosts_->size());
}


// What more, or fewer, hosts in groups of a model are worth.
double gain(const planning& p, const catalog::model& m, double more)
{
    const double needed = needed_by(p, m);
    const double hosts = hosts_of(p, m.name_);
    return shortage(needed, hosts) - shortage(needed, hosts + more);
}


double seconds(std::chrono::milliseconds time)
{
    return std::chrono::duration<double>(time).count();
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
        .field("needed", needed_by(p, m))
        .field("hosts", hosts_of(p, m.name_))
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


/// A group that could be formed, and what that is worth.
struct proposal
{
    const catalog::model* model_ = nullptr;
    candidate hosts_;
    /// Gain over the horizon of the first of its hosts.
    double value_ = 0;
};


// Time within the horizon in which the group would serve.
double time_left(const planning& p, const candidate& c)
{
    // Times before traffic are a tenth and cost nothing.
    const double wait = p.f_.before_traffic_ ? 0 : seconds(c.time_);
    return std::max(0.0, seconds(p.s_.config_.horizon_) - wait);
}


double value_of(const planning& p, const catalog::model& m, const candidate& c)
{

    // The gain of the first host, so that sizes of groups do not matter.
    return gain(p, m, 1) * time_left(p, c);
}


// Returns the group whose hosts are put to best use: by the need for its
// model and by how soon it can serve.
std::optional<proposal>
choose_next(const planning& p, const free_by_domain& free)
{
    std::optional<proposal> best;
    for (const catalog::model& m : p.f_.engine_->models_) {
        auto c = best_candidate(p, free, m);
        if (!c)
            continue;
        const double value = value_of(p, m, *c);
        if (!best || value > best->value_)
            best = proposal{&m, std::move(*c), value};
    }
    return best;
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


/// A group that could be taken apart for its hosts.
struct donation
{
    formation* donor_ = nullptr;
    const catalog::model* receiver_ = nullptr;
    double value_ = 0;
};


// What it is worth to close the donor and to form a group of the receiving
// model with its hosts and the free ones, against what the free ones can do
// alone.
double donation_value(
    const planning& p,
    const base::fabric_domain_id& domain,
    const host_list& hosts,
    const formation& donor,
    const catalog::model& receiver)
{
    const catalog::model* given = find_model(p, donor.model_);
    if (given == nullptr ||
        hosts_with_weights(p, hosts, donor, receiver) < receiver.group_size_)
        return 0;
    const double horizon = seconds(p.s_.config_.horizon_);
    const double wait = closing_s + seconds(receiver.warm_time_);
    const double gained =
        gain(p, receiver, receiver.group_size_) * (horizon - wait);
    const double lost = -gain(p, *given, -double(given->group_size_)) * horizon;
    double alone = 0;
    for (const catalog::model& m : p.f_.engine_->models_) {
        const auto c = best_of_domain(p, domain, hosts, m);
        if (c)
            alone =
                std::max(alone, gain(p, m, m.group_size_) * time_left(p, *c));
    }
    return gained - lost - alone;
}


donation best_donation(planning& p, const free_by_domain& free)
{
    donation best;
    for (const auto& [domain, hosts] : free) {
        if (hosts.empty() || is_giving_up(p, domain))
            continue;
        for (auto& [key, f] : p.s_.formations_) {
            if (f.domain_ != domain || f.phase_ != formation_phase::serving)
                continue;
            for (const catalog::model& m : p.f_.engine_->models_) {
                if (m.name_ == f.model_ || hosts.size() >= m.group_size_ ||
                    hosts.size() + f.members_.size() < m.group_size_)
                    continue;
                const double value = donation_value(p, domain, hosts, f, m);
                if (value > best.value_)
                    best = {&f, &m, value};
            }
        }
    }
    return best;
}


// Takes a group apart when its hosts complete a group that is needed more.
void take_from_donor(planning& p, const free_by_domain& free)
{
    if (p.f_.before_traffic_)
        return;
    const donation d = best_donation(p, free);
    if (d.donor_ == nullptr)
        return;
    base::event_line("group_closing")
        .field("group", d.donor_->key_.name_)
        .field("reason", "hosts_for_other_model")
        .field("model", d.receiver_->name_)
        .field("value", d.value_);
    set_phase(p, *d.donor_, formation_phase::closing);
    tell(p, *d.donor_, d.donor_->members_.front(), order_kind::close);
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
        remove_hosts(free, next->hosts_);
        if (take_loads(p, next->hosts_.loads_))
            start_formation(p, next->hosts_, *next->model_);
    }
}

} // namespace monsoondock::placement::pvt
