#pragma once

#include "control_state.hpp"

#include <monsoondock/groups/deployment_demand.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::daemon {

/// What the settings want from one fabric domain.
struct domain_demand
{
    std::vector<groups::deployment_demand> deployments_;
    std::size_t spare_hosts_ = 0;
};


/// Returns the share of one domain in the groups that the settings want in the
/// own data centre. Shares are even over the domains in the order of names.
domain_demand
demand_of(const control_state& control, const base::fabric_domain_id& domain);

} // namespace monsoondock::daemon
