#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/membership/member_record.hpp>

#include <map>

namespace monsoondock::membership {

/// Local view that a node has of another daemon.
struct member
{
    member_record record_;
    /// When the state last changed in this node's view. The suspicion timeout
    /// and the retention of a dead member count from this time.
    base::time_point state_changed_at_;
    /// When this node last requested the full record from the member.
    base::time_point record_requested_at_;
};


/// All other daemons known to a node, keyed by daemon name.
using member_table = std::map<base::daemon_id, member>;

} // namespace monsoondock::membership
