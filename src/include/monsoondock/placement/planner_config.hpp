#pragma once

#include <chrono>

namespace monsoondock::placement {

/// Timing of the planner.
struct planner_config
{
    /// An order whose effect does not show is sent again after this time.
    std::chrono::milliseconds repeat_order_{1000};
    /// A formation is given up when a member has not become ready this long
    /// after the time that its join was expected to take.
    std::chrono::milliseconds formation_slack_{4000};
    /// A closing group that still has requests is told to leave after this
    /// time.
    std::chrono::milliseconds longest_close_{9000};
    /// Hosts of a domain that come back together are listed within this time
    /// of each other.
    std::chrono::milliseconds gather_{500};
    /// Hosts are placed at a first start once the list has not grown for
    /// this time.
    std::chrono::milliseconds settle_{400};
    /// Time over which a group's hosts are expected to stay together; a group
    /// that takes longer to form is worth nothing.
    std::chrono::milliseconds horizon_{30000};
    /// Window and share of the load limit that this planner uses.
    std::chrono::milliseconds load_window_{5000};
    double load_share_ = 0.9;
};

} // namespace monsoondock::placement
