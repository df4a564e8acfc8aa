#pragma once

#include <monsoondock/groups/group_phase.hpp>

#include <optional>

namespace monsoondock::groups {

/// Event that can change the phase of a group.
enum class group_event
{
    /// Every member reports the group's generation and is ready.
    all_ready,
    /// A member is lost, or the group took too long to form.
    member_lost,
    /// A member is leaving, or fewer groups are wanted.
    retire_requested,
    /// No daemon can dispatch to the group any more, so its hosts are free.
    hosts_released
};


/// Returns the phase that follows phase on event, or nothing when the event
/// does not apply in that phase. A retired group never changes.
std::optional<group_phase> next_phase(group_phase phase, group_event event);


/// Returns true when a store update may change the phase of a group from one to
/// the other, or leave it as it is.
bool may_follow(group_phase from, group_phase to);

} // namespace monsoondock::groups
