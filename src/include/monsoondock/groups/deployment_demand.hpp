#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstddef>

namespace monsoondock::groups {

/// Number of replica groups of a deployment that one fabric domain should run.
struct deployment_demand
{
    base::deployment_id deployment_;
    /// Hosts in each group.
    std::size_t group_hosts_ = 16;
    /// Groups to form even if no spare hosts are left.
    std::size_t min_groups_ = 0;
    /// Groups wanted at the present load; at most max_groups_ are formed.
    std::size_t wanted_groups_ = 0;
    std::size_t max_groups_ = 0;
};

} // namespace monsoondock::groups
