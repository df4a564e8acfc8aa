#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/groups/contact_table.hpp>
#include <monsoondock/groups/group_record.hpp>
#include <monsoondock/groups/group_timing.hpp>

#include <optional>
#include <set>

namespace monsoondock::groups {

/// Progress of the retirement of a group as observed by one leader in one term.
/// It is not stored: a new leader starts from the beginning.
struct retirement
{
    /// When this leader first found the group retiring.
    base::time_point since_;
    /// When a member first reported that it no longer holds the group.
    std::optional<base::time_point> first_unloaded_at_;
    /// Members that reported so.
    std::set<base::host_id> unloaded_members_;
};


/// Updates the progress from the members' latest reports. Only answers to
/// probes sent at least order_timeout_ after since_ count: an order sent before
/// since_ can be executed until then and load the group again.
void update_retirement(
    retirement& progress,
    const group_record& group,
    const contact_table& contacts,
    const group_timing& timing);


/// Returns true when no daemon can dispatch to the group any more: a member
/// unloaded the group so long ago that every lease on its evidence has expired,
/// or all engines check generations and every member unloaded the group.
bool may_release(
    const retirement& progress,
    const group_record& group,
    bool all_check_generation,
    base::time_point now,
    const group_timing& timing);

} // namespace monsoondock::groups
