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

/// One deployment that competes for the hosts of a fabric domain.
struct contender
{
    base::deployment_id deployment_;
    demand_forecast forecast_;
    capacity_weights weights_;
    std::size_t hosts_per_group_ = 16;
    std::size_t min_groups_ = 0;
    std::size_t max_groups_ = 0;
    /// Groups that it has now.
    std::size_t current_groups_ = 0;
};


/// Why a deployment gets the number of groups that it gets.
enum class allocation_reason
{
    /// Settings ask for at least as many.
    minimum,
    /// One more group would cost more idle time than it saves downtime.
    demand,
    /// Settings allow no more.
    maximum,
    /// No hosts are left for one more group.
    hosts,
    /// Fewer would do, but not yet for long enough.
    held
};


/// Groups that a deployment should have.
struct allocation
{
    base::deployment_id deployment_;
    std::size_t groups_ = 0;
    allocation_reason reason_ = allocation_reason::demand;
    /// Probability that one more group would be needed.
    double chance_of_more_ = 0;
};


/// What the planner remembers between steps, so that nothing flaps.
struct allocation_memory
{
    /// Since when fewer groups than it has would do, by deployment.
    std::map<base::deployment_id, base::time_point> surplus_since_;
};


/// Bounds that belong to a domain and not to one deployment.
struct domain_bounds
{
    /// Hosts that may be in groups.
    std::size_t hosts_ = 0;
    /// Hosts kept free for repair; minimums go before them.
    std::size_t spare_hosts_ = 0;
    /// Time for which a surplus must last before a group is given up.
    std::chrono::milliseconds shrink_delay_{0};
};


/// Shares the hosts of a domain among its deployments. Minimums come first;
/// then each further group goes where it saves the most expected cost: the
/// chance that it is needed times the cost of downtime, less the chance that
/// it idles times the cost of stranded accelerators. A group stays until it
/// has been in surplus for the shrink delay, unless another deployment needs
/// its hosts more. Same input, same result.
std::vector<allocation> allocate(
    std::vector<contender> contenders,
    const domain_bounds& bounds,
    allocation_memory& memory,
    base::time_point now);


/// Returns the name of a reason as it appears in logs and JSON.
const char* to_string(allocation_reason reason) noexcept;

} // namespace monsoondock::capacity
