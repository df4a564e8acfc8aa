#pragma once

#include <monsoondock/groups/group_phase.hpp>

#include <optional>

namespace monsoondock::groups {

/// What can happen to a group.
enum class group_event
{
    /// Every member reports the group's generation and is ready.
    all_ready,
    /// A member is missing, or the group took too long to form.
    member_lost,
    /// A member leaves, or fewer groups are wanted.
    retire_asked,
    /// No daemon can dispatch to the group any longer.
    hosts_released
};


/// Returns the phase that follows phase on event, or nothing when the event
/// means nothing in that phase. A retired group never changes.
std::optional<group_phase> next_phase(group_phase phase, group_event event);


/// Returns true when a store update may move a group from one phase to the
/// other, staying included.
bool may_follow(group_phase from, group_phase to);

} // namespace monsoondock::groups
