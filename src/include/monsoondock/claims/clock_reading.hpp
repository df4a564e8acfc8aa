#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>

namespace monsoondock::claims {

/// Wall-clock time, for comparisons between hosts. Clocks of hosts differ, so
/// it decides only when records expire and which answer a retry gets, never
/// whether a call runs.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;


/// The current time on the monotonic boot clock and on the wall clock.
struct clock_reading
{
    base::time_point boot_;
    wall_time wall_;
};

} // namespace monsoondock::claims
