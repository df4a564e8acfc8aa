#pragma once

#include <monsoondock/fleet/host_table.hpp>

#include <map>
#include <optional>
#include <vector>

namespace monsoondock::fleet {

/// One formation of a group as the hosts' entries show it.
struct replica_group
{
    group_key key_;
    base::deployment_id deployment_;
    std::string model_;
    base::fabric_domain_id domain_;
    /// Members that say they are in it, in the order of their ranks. A
    /// missing rank means that a member is gone or has gone elsewhere.
    std::vector<base::host_id> members_;
    /// True when ranks 0 to size - 1 are all there.
    bool complete_ = false;
    /// True when every member has come to ready at least.
    bool all_ready_ = false;
    /// True when some member is leaving.
    bool draining_ = false;
    /// Phase of the head; nothing when the head is not listed.
    std::optional<group_phase> head_phase_;
};

using group_map = std::map<group_key, replica_group>;


/// Puts the entries of one deployment's hosts together into groups. sizes
/// gives the group size of each model.
group_map derive_groups(
    const host_table& hosts,
    const base::deployment_id& deployment,
    const std::map<std::string, unsigned>& sizes);


/// Returns true when requests may be sent to the group: whole, every member
/// ready under this formation, none leaving, and its head open.
bool may_serve(const replica_group& g) noexcept;

} // namespace monsoondock::fleet
