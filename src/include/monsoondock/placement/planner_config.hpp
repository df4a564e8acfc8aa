#pragma once

#include <chrono>

namespace monsoondock::placement {

/// Timing and load limits of a planner.
struct planner_config
{
    /// An order without visible effect is sent again after this time.
    std::chrono::milliseconds order_retry_interval_{1000};
    /// Time beyond the expected join time after which a formation is abandoned
    /// if a member is still not ready.
    std::chrono::milliseconds formation_slack_{4000};
    /// A closing group that still has requests after this time is dissolved.
    std::chrono::milliseconds close_timeout_{9000};
    /// After a host is first listed, its domain waits this long for further
    /// hosts: hosts that recover together are listed within this time.
    std::chrono::milliseconds domain_settle_time_{500};
    /// At the initial start, hosts are placed once their number has not changed
    /// for this time.
    std::chrono::milliseconds initial_settle_time_{400};
    /// Expected lifetime of a group; a group that takes longer to form has no
    /// value.
    std::chrono::milliseconds planning_horizon_{30000};
    /// Period over which the rate of loads from the weight store is limited,
    /// and the share of engine::loads_per_second_ that this planner uses.
    std::chrono::milliseconds load_rate_window_{5000};
    double load_rate_share_ = 0.9;
};

} // namespace monsoondock::placement
