#pragma once

#include "control_state.hpp"

#include <monsoondock/groups/deployment_demand.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::daemon {

/// Groups and spare hosts that the settings require from one fabric domain.
struct domain_demand
{
    std::vector<groups::deployment_demand> deployments_;
    std::size_t spare_hosts_ = 0;
};


/// Returns the share of one domain in the groups that the settings require in
/// the own data centre. Groups are spread evenly over its domains; the first
/// domains by name take the remainder.
domain_demand domain_demand_of(
    const control_state& control, const base::fabric_domain_id& domain);

} // namespace monsoondock::daemon
