#pragma once

#include <monsoondock/groups/domain_leader.hpp>

namespace monsoondock::groups::pvt {

/// Condition of one member as its domain's leader judges it.
enum class member_state
{
    /// Reports the group's generation and is ready, or recently did.
    ready,
    /// Alive or not known yet, but without the group loaded.
    pending,
    /// To be emptied, or no longer listed.
    leaving,
    /// Silent for too long, or alive without the group that it had.
    lost
};


/// Returns the row of a host in the platform's list, or null.
const host_view* find_host(const leader_input& input, const base::host_id& id);


/// Judges one member of a group that is forming or serving.
member_state judge_member(
    const leader_input& input,
    const group_record& group,
    const group_watch& watch,
    const base::host_id& host,
    const group_timing& timing);


/// Returns true when the leader reached any listed host lately. Without it the
/// leader cannot tell a dark domain from its own isolation.
bool sees_any_host(const leader_input& input, const group_timing& timing);

} // namespace monsoondock::groups::pvt
