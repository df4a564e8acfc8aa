#pragma once

#include <monsoondock/fleet/host_info.hpp>

#include <chrono>

namespace monsoondock::entry::pvt {

/// Time within which all daemons stop sending requests to a host after the
/// leader has removed it.
inline constexpr std::chrono::milliseconds removal_spread{1200};


/// Time for which the group of a host that was kept and then removed is left as
/// it is. Partitions of hosts from the store often end within it.
inline constexpr std::chrono::milliseconds suspension_time{1500};


/// Returns how long a host is kept after its entry was removed from the store.
///
/// An entry is removed when the host has left, and when the host can't reach
/// the store, while requests may still reach it. A member of a group that
/// serves is kept as long as a leaving host may get requests, so that a short
/// partition does not break its group; if it has failed, its group falls
/// silent. All others are removed at once. drain_time is the time for which a
/// leaving host may get requests.
std::chrono::milliseconds removal_delay(
    const fleet::host_info& host, std::chrono::milliseconds drain_time);

} // namespace monsoondock::entry::pvt
