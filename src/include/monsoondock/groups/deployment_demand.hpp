#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstddef>

namespace monsoondock::groups {

/// How many groups of a deployment one fabric domain should carry.
struct deployment_demand
{
    base::deployment_id deployment_;
    /// Hosts in each group.
    std::size_t group_hosts_ = 16;
    /// Groups that come before any spare host is kept back.
    std::size_t min_groups_ = 0;
    /// Groups that are wanted now; at most max_groups_ are formed.
    std::size_t wanted_groups_ = 0;
    std::size_t max_groups_ = 0;
};

} // namespace monsoondock::groups
