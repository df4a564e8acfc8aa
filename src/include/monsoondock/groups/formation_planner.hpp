#pragma once

#include <monsoondock/groups/deployment_demand.hpp>
#include <monsoondock/groups/domain_record.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::groups {

/// Changes that bring a domain closer to its demand.
struct formation_plan
{
    /// New groups in the order of their generations.
    std::vector<group_record> formed_;
    /// Serving groups that are no longer wanted.
    std::vector<base::group_id> surplus_;
};


/// Plans groups from the free hosts of one domain. All deployments get their
/// minimum first, in turn by name; wanted groups above it leave spare_hosts
/// free. Hosts are taken in the order of their names. Same input, same plan.
formation_plan plan_formation(
    const domain_record& record,
    std::vector<base::host_id> free_hosts,
    std::vector<deployment_demand> demand,
    std::size_t spare_hosts);


/// Returns record with the new groups of the plan in the phase forming.
domain_record
with_formed(const domain_record& record, const formation_plan& plan);

} // namespace monsoondock::groups
