#include "candidates.hpp"

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

std::string last_model(const planning_step& step, const base::host_id& id)
{
    const auto last = step.state_.last_groups_.find(id);
    return last == step.state_.last_groups_.end() ? std::string()
                                                  : last->second.model_;
}

} // namespace

host_readiness readiness_of(
    const planning_step& step,
    const fleet::host_info& host,
    const catalog::model& m)
{
    host_readiness r;
    r.source_ = find_weights(host, last_model(step, host.id_), m);
    r.time_ = join_time(r.source_, m);
    if (r.source_ != weights_source::weight_store)
        return r;
    const auto sent = step.state_.staging_orders_.find(host.id_);
    if (sent == step.state_.staging_orders_.end() ||
        sent->second.model_ != m.name_)
        return r;
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
        step.input_.now_ - sent->second.sent_at_);
    r.loading_ = passed < 2 * m.load_time_;
    if (r.loading_)
        r.time_ = m.warm_join_time_ +
                  std::max(std::chrono::milliseconds(0), m.load_time_ - passed);
    return r;
}


bool has_weights(
    const planning_step& step,
    const fleet::host_info& host,
    const catalog::model& m)
{
    return find_weights(host, last_model(step, host.id_), m) !=
           weights_source::weight_store;
}


std::optional<candidate> best_of_domain(
    const planning_step& step,
    const base::fabric_domain_id& domain,
    host_list hosts,
    const catalog::model& m)
{
    if (hosts.size() < m.group_size_)
        return std::nullopt;
    const auto time = [&](const fleet::host_info* h) {
        return readiness_of(step, *h, m).time_;
    };
    std::stable_sort(hosts.begin(), hosts.end(), [&](auto* a, auto* b) {
        return time(a) < time(b);
    });
    hosts.resize(m.group_size_);
    candidate c{domain, hosts, time(hosts.back()), 0};
    for (const fleet::host_info* h : hosts)
        c.hosts_without_weights_ += has_weights(step, *h, m) ? 0 : 1;
    return c;
}

} // namespace monsoondock::placement::pvt
