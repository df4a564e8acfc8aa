#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/capacity/capacity_weights.hpp>
#include <monsoondock/capacity/demand_forecast.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace monsoondock::capacity {

/// Demand and limits of one deployment that shares the hosts of a fabric
/// domain with others.
struct allocation_request
{
    base::deployment_id deployment_;
    demand_forecast forecast_;
    capacity_weights weights_;
    std::size_t hosts_per_group_ = 16;
    std::size_t min_groups_ = 0;
    std::size_t max_groups_ = 0;
    /// Number of groups that the deployment has now.
    std::size_t current_groups_ = 0;
};


/// Constraint that determined the number of groups of a deployment.
enum class allocation_reason
{
    /// The minimum number of groups in the settings.
    minimum,
    /// Forecast demand: one more group is expected to cost more idle time than
    /// it saves downtime.
    demand,
    /// The maximum number of groups in the settings.
    maximum,
    /// Too few hosts are left for one more group.
    hosts,
    /// Fewer groups would suffice, but the scale-down delay has not passed.
    held
};


/// Number of groups that a deployment should have.
struct allocation
{
    base::deployment_id deployment_;
    std::size_t groups_ = 0;
    allocation_reason reason_ = allocation_reason::demand;
    /// Probability that the demand needs one group more than groups_.
    double next_group_probability_ = 0;
};


/// State that the planner keeps between calls, so that allocations do not
/// oscillate with short changes in demand.
struct allocation_state
{
    /// Start of the current surplus of groups, by deployment.
    std::map<base::deployment_id, base::time_point> surplus_since_;
};


/// Limits that apply to a fabric domain as a whole.
struct domain_limits
{
    /// Hosts available for groups, spares included.
    std::size_t hosts_ = 0;
    /// Hosts reserved to replace failed ones. Minimums take precedence over the
    /// reserve.
    std::size_t spare_hosts_ = 0;
    /// Time for which a surplus must last before a group is released.
    std::chrono::milliseconds scale_down_delay_{0};
};


/// Allocates the hosts of a domain to its deployments. Minimums are met first.
/// Each further group goes to the deployment where it saves the highest
/// expected cost per host: the probability that it is needed times the cost of
/// downtime, minus the probability that it is idle times the cost of stranded
/// accelerators. A surplus group is retained until the surplus has lasted for
/// the scale-down delay, unless its hosts are allocated to another deployment.
/// The result is deterministic and sorted by deployment.
std::vector<allocation> allocate(
    std::vector<allocation_request> requests,
    const domain_limits& limits,
    allocation_state& state,
    base::time_point now);


/// Returns the name of a reason for logs and JSON.
const char* to_string(allocation_reason reason) noexcept;

} // namespace monsoondock::capacity
