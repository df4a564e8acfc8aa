#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/membership/member_record.hpp>

#include <map>

namespace monsoondock::membership {

/// Another daemon as this node holds it.
struct member
{
    member_record record_;
    /// When the state last changed here. A suspicion runs from this time, and
    /// so does the retention of a dead member.
    base::time_point changed_;
    /// When this node last asked the member for its full record.
    base::time_point asked_;
};


/// All other daemons known to a node, by name.
using member_table = std::map<base::daemon_id, member>;

} // namespace monsoondock::membership
