#pragma once

#include <monsoondock/fleet/host_table.hpp>

#include <map>
#include <optional>
#include <vector>

namespace monsoondock::fleet {

/// One formation of a replica group, as derived from the listed states of its
/// hosts.
struct replica_group
{
    group_key key_;
    base::deployment_id deployment_;
    std::string model_;
    base::fabric_domain_id domain_;
    /// Hosts that report to be members, by rank. A missing rank means that a
    /// member is not listed or belongs to another group.
    std::vector<base::host_id> members_;
    /// True when all ranks from 0 to size - 1 are present.
    bool complete_ = false;
    /// True when every member is ready or open.
    bool all_ready_ = false;
    /// True when any member is draining.
    bool draining_ = false;
    /// Phase of the head; absent when the head is not listed in the group.
    std::optional<group_phase> head_phase_;
};

using group_map = std::map<group_key, replica_group>;


/// Derives the replica groups of one deployment from the states of its hosts.
/// sizes holds the group size of each model; a group of a model that it lacks
/// is never complete.
group_map derive_groups(
    const host_table& hosts,
    const base::deployment_id& deployment,
    const std::map<std::string, unsigned>& sizes);


/// Returns true when requests may be sent to the group: it is complete, every
/// member is ready in this formation, none is draining, and the head is open.
bool may_serve(const replica_group& g) noexcept;

} // namespace monsoondock::fleet
