#include "candidates.hpp"
#include "supply.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

// A stage order without visible effect may be repeated after this time, which
// is longer than any load.
constexpr std::chrono::milliseconds staging_timeout{40000};
// Not used. Intended to reserve a part of the parallel loads for hosts that are
// in no group: prefetches were to start only below 1/prefetch_divisor of them.
constexpr unsigned prefetch_divisor = 2;


/// A host that could load the weights of a model that it does not run.
struct load_candidate
{
    const fleet::host_info* host_ = nullptr;
    const catalog::model* model_ = nullptr;
    double value_ = 0;
};


// Returns, by domain, the number of hosts outside the model's groups that have
// its weights or are loading them.
std::map<base::fabric_domain_id, unsigned>
hosts_near_readiness(const planning_step& step, const catalog::model& m)
{
    std::map<base::fabric_domain_id, unsigned> count;
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


std::vector<load_candidate> load_candidates(const planning_step& step)
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
            const auto ready_count = ready_counts.find(host.domain_);
            const unsigned ready_hosts =
                ready_count == ready_counts.end() ? 0 : ready_count->second;
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
    std::stable_sort(loads.begin(), loads.end(), [](auto& a, auto& b) {
        return a.value_ > b.value_;
    });
    return loads;
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
    const std::size_t limit = step.input_.before_traffic_
                                  ? step.hosts_.size()
                                  : step.input_.engine_->parallel_loads_;
    std::size_t in_progress = loads_in_progress(step);
    std::set<base::host_id> chosen;
    for (const load_candidate& load : load_candidates(step)) {
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

} // namespace monsoondock::placement::pvt
