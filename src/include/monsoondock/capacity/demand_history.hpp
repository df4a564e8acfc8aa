#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>
#include <cstdint>
#include <deque>

namespace monsoondock::capacity {

/// Length of one time slot of a demand history.
inline constexpr std::chrono::minutes slot_length{5};
/// Number of days that a demand history covers.
inline constexpr int history_days = 7;


/// Peak demand within one time slot.
struct demand_slot
{
    /// Number of slots since the epoch of the clock.
    std::int64_t index_ = 0;
    /// Demand in groups: running and queued load, divided by the load that one
    /// group can sustain.
    double peak_groups_ = 0;
};


/// Recent demand of one deployment, oldest slot first.
struct demand_history
{
    std::deque<demand_slot> slots_;
};


/// Records the demand measured at now. Removes slots older than history_days.
/// now must not decrease between calls.
void add_demand(demand_history& history, double groups, base::time_point now);

} // namespace monsoondock::capacity
