#include "candidates.hpp"
#include "supply.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

// A stage order without visible effect may be repeated after this time, which
// is longer than any load.
constexpr std::chrono::milliseconds staging_timeout{40000};
// Hosts of serving groups load another model's weights only while fewer than
// 1/prefetch_divisor of the parallel loads are in progress. The rest is left
// for hosts that serve nobody until they have weights.
constexpr unsigned prefetch_divisor = 2;


/// A host that could load the weights of a model that it does not run.
struct load_candidate
{
    const fleet::host_info* host_ = nullptr;
    const catalog::model* model_ = nullptr;
    double value_ = 0;
};


using domain_counts = std::map<base::fabric_domain_id, unsigned>;


unsigned count_in(const domain_counts& counts, const base::fabric_domain_id& d)
{
    const auto found = counts.find(d);
    return found == counts.end() ? 0 : found->second;
}


void sort_by_value(std::vector<load_candidate>& loads)
{
    std::stable_sort(loads.begin(), loads.end(), [](auto& a, auto& b) {
        return a.value_ > b.value_;
    });
}


// Returns, by domain, the number of hosts in groups of the model.
domain_counts grouped_hosts(const planning_step& step, const catalog::model& m)
{
    domain_counts counts;
    for (const auto& [key, f] : step.state_.formations_) {
        if (f.model_ == m.name_)
            counts[f.domain_] += static_cast<unsigned>(f.members_.size());
    }
    return counts;
}


bool holds_no_weights(const planning_step& step, const fleet::host_info& host)
{
    const auto& models = step.input_.engine_->models_;
    return std::none_of(models.begin(), models.end(), [&](const auto& m) {
        return has_weights(step, host, m);
    });
}


/// Hosts of one domain, by model.
struct model_counts
{
    const catalog::model* model_ = nullptr;
    /// Reduction in shortage cost when the model's groups have one host more.
    double gain_ = 0;
    domain_counts grouped_;
    /// Free hosts that have the weights or are loading them.
    domain_counts ready_spares_;
};


std::vector<model_counts>
count_by_model(const planning_step& step, const free_by_domain& free)
{
    // Distinguishes models while none of them is short of hosts.
    constexpr double min_gain = 1e-3;
    std::vector<model_counts> result;
    for (const catalog::model& m : step.input_.engine_->models_) {
        model_counts counts{
            &m,
            std::max(min_gain, shortage_reduction(step, m, 1)),
            grouped_hosts(step, m),
            {}};
        for (const auto& [domain, hosts] : free) {
            for (const fleet::host_info* h : hosts) {
                const host_readiness r = readiness_of(step, *h, m);
                counts.ready_spares_[domain] +=
                    r.source_ != weights_source::weight_store || r.loading_;
            }
        }
        result.push_back(std::move(counts));
    }
    return result;
}


// Value of one more spare host with the model's weights: the more hosts of the
// domain run the model, the sooner one of them is lost, and the fewer spares
// there are, the more likely the host replaces it.
double
spare_value(const model_counts& counts, const base::fabric_domain_id& domain)
{
    const unsigned grouped = count_in(counts.grouped_, domain);
    const unsigned ready = count_in(counts.ready_spares_, domain);
    return counts.gain_ * (1 + grouped) / (1 + ready);
}


// Returns the loads of free hosts that hold no weights. Without them such a
// host could replace a lost one only after a whole load.
std::vector<load_candidate> spare_loads(const planning_step& step)
{
    free_by_domain free = free_hosts(step);
    remove_waiting_domains(step, free);
    std::vector<model_counts> models = count_by_model(step, free);
    std::vector<load_candidate> loads;
    for (const auto& entry : free) {
        const base::fabric_domain_id& domain = entry.first;
        for (const fleet::host_info* h : entry.second) {
            if (is_loading(step, h->id_) || !holds_no_weights(step, *h))
                continue;
            const auto best = std::max_element(
                models.begin(), models.end(), [&](auto& a, auto& b) {
                    return spare_value(a, domain) < spare_value(b, domain);
                });
            loads.push_back({h, best->model_, spare_value(*best, domain)});
            ++best->ready_spares_[domain];
        }
    }
    sort_by_value(loads);
    return loads;
}


// Returns, by domain, the number of hosts outside the model's groups that have
// its weights or are loading them.
domain_counts
hosts_near_readiness(const planning_step& step, const catalog::model& m)
{
    domain_counts count;
    std::set<base::host_id> inside;
    for (const auto& [key, f] : step.state_.formations_) {
        if (f.model_ == m.name_)
            inside.insert(f.members_.begin(), f.members_.end());
    }
    for (const auto& [id, host] : step.hosts_) {
        if (host.deployment_ != step.state_.deployment_ ||
            inside.contains(id) || !is_usable(step, id))
            continue;
        const host_readiness r = readiness_of(step, host, m);
        count[host.domain_] +=
            r.source_ != weights_source::weight_store || r.loading_ ? 1 : 0;
    }
    return count;
}


// Hosts in serving groups have their own model in memory, so their staged
// weights are best those of another model. Hosts of groups in any other phase
// may still need the weights that they hold.
std::set<base::host_id> hosts_to_skip(const planning_step& step)
{
    std::set<base::host_id> result;
    for (const auto& [key, f] : step.state_.formations_) {
        if (f.phase_ != formation_phase::serving)
            result.insert(f.members_.begin(), f.members_.end());
    }
    return result;
}


// Returns true when the host's last group ran another model: the host still has
// that one in memory, so it can spare its staged weights.
bool holds_other_model(
    const planning_step& step,
    const fleet::host_info& host,
    const catalog::model& m)
{
    const auto last = step.state_.last_groups_.find(host.id_);
    return last != step.state_.last_groups_.end() &&
           !last->second.model_.empty() && last->second.model_ != m.name_;
}


// Returns the loads by which hosts of groups could change to another model.
std::vector<load_candidate> alternative_loads(const planning_step& step)
{
    const auto skipped = hosts_to_skip(step);
    std::vector<load_candidate> loads;
    for (const catalog::model& m : step.input_.engine_->models_) {
        const auto ready_counts = hosts_near_readiness(step, m);
        for (const auto& [id, host] : step.hosts_) {
            if (host.deployment_ != step.state_.deployment_ ||
                skipped.contains(id) || !holds_other_model(step, host, m) ||
                !is_usable(step, id) || is_loading(step, id) ||
                has_weights(step, host, m))
                continue;
            const unsigned ready_hosts = count_in(ready_counts, host.domain_);
            // Prefers domains that lack few hosts for a complete group; once
            // one is complete, a further host is worth little.
            const double completion_weight =
                ready_hosts < m.group_size_ ? 1.0 + ready_hosts : 0.5;
            loads.push_back(
                {&host,
                 &m,
                 shortage_reduction(step, m, 1) * completion_weight});
        }
    }
    sort_by_value(loads);
    return loads;
}


// Orders the loads in turn while fewer than limit are in progress.
void order_loads(
    planning_step& step,
    const std::vector<load_candidate>& loads,
    std::size_t limit)
{
    std::size_t in_progress = loads_in_progress(step);
    std::set<base::host_id> chosen;
    for (const load_candidate& load : loads) {
        if (in_progress >= limit)
            return;
        if (!chosen.insert(load.host_->id_).second)
            continue;
        if (!reserve_load(step))
            return;
        ++in_progress;
        order_staging(step, *load.host_, *load.model_);
    }
}

} // namespace

bool is_loading(const planning_step& step, const base::host_id& id)
{
    const auto sent = step.state_.staging_orders_.find(id);
    if (sent == step.state_.staging_orders_.end() ||
        step.input_.now_ - sent->second.sent_at_ > staging_timeout)
        return false;
    const fleet::host_info* host = find_host(step, id);
    const catalog::model* m = find_model(step, sent->second.model_);
    return host != nullptr && m != nullptr && !has_weights(step, *host, *m);
}


std::size_t loads_in_progress(const planning_step& step)
{
    std::size_t count = 0;
    for (const auto& [id, sent] : step.state_.staging_orders_)
        count += is_loading(step, id) ? 1 : 0;
    return count;
}


void order_staging(
    planning_step& step, const fleet::host_info& host, const catalog::model& m)
{
    step.state_.staging_orders_[host.id_] = {m.name_, step.input_.now_};
    base::event_line("staging_ordered")
        .field("host", host.id_)
        .field("model", m.name_)
        .field("domain", host.domain_);
    send(step, {0, order_kind::stage, host.id_, {}, m.name_, {}});
}


void prefetch_weights(planning_step& step)
{
    // Before traffic, loads are fast and do not slow each other down.
    const std::size_t all = step.hosts_.size();
    const std::size_t parallel = step.input_.engine_->parallel_loads_;
    const bool early = step.input_.before_traffic_;
    order_loads(step, spare_loads(step), early ? all : parallel);
    order_loads(
        step,
        alternative_loads(step),
        early ? all : parallel / prefetch_divisor);
}

} // namespace monsoondock::placement::pvt
