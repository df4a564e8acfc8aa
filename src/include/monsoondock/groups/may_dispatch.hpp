#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/groups/evidence_table.hpp>
#include <monsoondock/groups/group_view.hpp>

#include <chrono>
#include <variant>

namespace monsoondock::groups {

/// The dispatch is allowed until the given time.
struct dispatch_allowed
{
    /// When the oldest evidence about a member expires.
    base::time_point until_;
};


/// The group is not in the phase serving.
struct group_not_serving
{
    group_phase phase_;
};


/// A member is leaving or is not in the platform's list.
struct member_leaving
{
    base::host_id host_;
};


/// There is no evidence that a member is ready in the group's generation.
struct member_unseen
{
    base::host_id host_;
};


/// The evidence about a member is older than the lease.
struct member_lapsed
{
    base::host_id host_;
    base::duration age_;
};


/// A member is also assigned to another group; neither group may serve.
struct member_contested
{
    /// The group that is refused, not the other one.
    base::group_id group_;
};


/// Result of may_dispatch: allowed, or the reason for the refusal.
using dispatch_decision = std::variant<
    dispatch_allowed,
    group_not_serving,
    member_leaving,
    member_unseen,
    member_lapsed,
    member_contested>;


/// Decides whether a request may be sent to group at now. Call it immediately
/// before sending, with the clock read then. A dispatch is allowed only when
/// the group is serving, no member is leaving or assigned to another group, and
/// for every member there is evidence of the group's own generation that is
/// younger than lease.
dispatch_decision may_dispatch(
    const group_view& group,
    const evidence_table& evidence,
    base::time_point now,
    std::chrono::milliseconds lease);


/// Returns the name of a decision as it appears in logs and metrics.
const char* reason_name(const dispatch_decision& decision) noexcept;

} // namespace monsoondock::groups
