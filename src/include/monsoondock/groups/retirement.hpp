#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/groups/contact_table.hpp>
#include <monsoondock/groups/group_record.hpp>
#include <monsoondock/groups/group_timing.hpp>

#include <optional>
#include <set>

namespace monsoondock::groups {

/// Progress of a retirement as one leader in one term sees it. It is not kept
/// in the store: a new leader starts again.
struct retirement
{
    /// When this leader first found the group retiring.
    base::time_point since_;
    /// When a member first answered that it no longer holds the group.
    std::optional<base::time_point> let_go_;
    /// Members that answered so.
    std::set<base::host_id> emptied_;
};


/// Takes what the leader knows of the members now. Only answers to probes that
/// left after every order of the time before since_ was surely executed count.
void note_members(
    retirement& progress,
    const group_record& group,
    const contact_table& contacts,
    const group_timing& timing);


/// Returns true when no daemon can dispatch to the group any longer: one
/// member let go longer ago than any lease on its evidence, or, when all
/// engines check generations, every member let go.
bool may_release(
    const retirement& progress,
    const group_record& group,
    bool all_check_generation,
    base::time_point now,
    const group_timing& timing);

} // namespace monsoondock::groups
