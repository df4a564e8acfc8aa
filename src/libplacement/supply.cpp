#include "supply.hpp"

#include <monsoondock/placement/shortage_cost.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

// Utilisation of all hosts that is assumed while no demand has been measured.
constexpr double assumed_utilisation = 0.5;


bool counts_as_capacity(const formation& f)
{
    return f.phase_ == formation_phase::joining ||
           f.phase_ == formation_phase::opening ||
           f.phase_ == formation_phase::serving;
}

} // namespace

double needed_hosts_for(const planning_step& step, const catalog::model& m)
{
    const auto measured = step.input_.needed_hosts_.find(m.name_);
    if (measured != step.input_.needed_hosts_.end())
        return measured->second;
    return m.expected_share_ * assumed_utilisation * double(step.hosts_.size());
}


double committed_hosts(const planning_step& step, const std::string& model)
{
    double hosts = 0;
    for (const auto& [key, f] : step.state_.formations_) {
        if (f.model_ == model && counts_as_capacity(f) &&
            !is_evacuated(step, f))
            hosts += double(f.members_.size());
    }
    const catalog::model* m = find_model(step, model);
    for (const auto& r : step.state_.reassignments_) {
        if (r.model_ == model && m != nullptr)
            hosts += m->group_size_;
    }
    return hosts;
}


double shortage_reduction(
    const planning_step& step, const catalog::model& m, double more)
{
    const double needed = needed_hosts_for(step, m);
    const double hosts = committed_hosts(step, m.name_);
    return shortage_cost(needed, hosts) - shortage_cost(needed, hosts + more);
}


double
remaining_horizon_s(const planning_step& step, std::chrono::milliseconds wait)
{
    // Before traffic, loads take a tenth of their time and delay no requests.
    if (step.input_.before_traffic_)
        wait = std::chrono::milliseconds(0);
    return std::max(
        0.0,
        std::chrono::duration<double>(
            step.state_.config_.planning_horizon_ - wait)
            .count());
}

} // namespace monsoondock::placement::pvt
