#pragma once

#include <monsoondock/groups/group_record.hpp>

#include <string>
#include <vector>

namespace monsoondock::groups {

/// One member of a group as known to the dispatching daemon.
struct member_view
{
    base::host_id host_;
    std::string address_;
    /// True when the host is in the platform's list.
    bool listed_ = true;
    /// True when the platform or an operator wants the host empty.
    bool leaving_ = false;
};


/// One group as known to the dispatching daemon; possibly outdated.
struct group_view
{
    base::group_id id_;
    base::deployment_id deployment_;
    base::generation generation_;
    group_phase phase_ = group_phase::forming;
    std::vector<member_view> members_;
    /// True when another group that is not retired has one of the hosts.
    bool conflicting_ = false;
};

} // namespace monsoondock::groups
