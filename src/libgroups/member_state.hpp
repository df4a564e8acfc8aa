#pragma once

#include <monsoondock/groups/domain_leader.hpp>

namespace monsoondock::groups::pvt {

/// State of one member as evaluated by its domain's leader.
enum class member_state
{
    /// Its last report shows it ready in the group's generation.
    ready,
    /// Has not reported ready yet, or did not answer the last probe.
    pending,
    /// Marked as leaving, or no longer listed.
    leaving,
    /// Silent for too long, or alive but no longer holding the group.
    lost
};


/// Returns the entry of a host in the platform's list, or null.
const host_view* find_host(const leader_input& input, const base::host_id& id);


/// Returns the state of one member of a group that is forming or serving.
member_state classify_member(
    const leader_input& input,
    const group_record& group,
    const tracked_group& tracked,
    const base::host_id& host,
    const group_timing& timing);


/// Returns true when any listed host has answered the leader within
/// contact_lifetime_. Without an answer the leader cannot distinguish an outage
/// of the domain from its own isolation.
bool reached_any_host(const leader_input& input, const group_timing& timing);

} // namespace monsoondock::groups::pvt
