#pragma once

#include <monsoondock/base/generation.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/groups/group_phase.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::groups {

/// Largest number of hosts in one group; group_health::missing_ has one bit for
/// each.
inline constexpr std::size_t MAX_GROUP_HOSTS = 32;

/// One replica group as the store holds it. The hosts and the generation of a
/// group never change: a repair forms a new group.
struct group_record
{
    base::group_id id_;
    base::deployment_id deployment_;
    /// Members in rank order; rank 0 is the head, which receives the requests.
    std::vector<base::host_id> hosts_;
    /// Fencing token, unique within the fabric domain.
    base::generation generation_;
    group_phase phase_ = group_phase::forming;

    friend bool operator==(const group_record&, const group_record&) = default;
};

} // namespace monsoondock::groups
