#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>
#include <cstdint>
#include <deque>

namespace monsoondock::capacity {

/// Length of one slot of a demand history.
inline constexpr std::chrono::minutes slot_length{5};
/// Number of days that a demand history reaches back.
inline constexpr int history_days = 7;


/// Highest demand seen in one slot.
struct demand_slot
{
    /// Slots since the clock's epoch.
    std::int64_t index_ = 0;
    /// Demand in groups: the load in progress and waiting, over what one
    /// group carries well.
    double peak_groups_ = 0;
};


/// Demand of one deployment in the recent past, oldest slot first.
struct demand_history
{
    std::deque<demand_slot> slots_;
};


/// Takes in the demand measured at now. Slots older than history_days are
/// dropped; now must not go back.
void add_demand(demand_history& history, double groups, base::time_point now);

} // namespace monsoondock::capacity
