#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/groups/evidence_table.hpp>
#include <monsoondock/groups/group_view.hpp>

#include <chrono>
#include <variant>

namespace monsoondock::groups {

/// The dispatch is allowed, and at the latest until this time.
struct dispatch_allowed
{
    base::time_point until_;
};


/// The group is not in the phase serving.
struct group_not_serving
{
    group_phase phase_;
};


/// A member is to be emptied.
struct member_leaving
{
    base::host_id host_;
};


/// There is no evidence about a member, or evidence of another generation.
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


/// Two groups claim a member; neither may serve.
struct member_contested
{
    base::group_id group_;
};

/// Whether a request may go to a group now, or why not.
using dispatch_decision = std::variant<
    dispatch_allowed,
    group_not_serving,
    member_leaving,
    member_unseen,
    member_lapsed,
    member_contested>;


/// Decides whether a request may be sent to group at now. It is to be called
/// at the moment of the sending, with the clock read then. Allowed only when
/// the group serves, no member leaves, and every member has evidence of the
/// group's own generation younger than lease.
dispatch_decision may_dispatch(
    const group_view& group,
    const evidence_table& evidence,
    base::time_point now,
    std::chrono::milliseconds lease);


/// Returns the name of the decision for logs and metrics.
const char* reason_name(const dispatch_decision& decision) noexcept;

} // namespace monsoondock::groups
