#pragma once

#include <chrono>

namespace monsoondock::capacity {

/// Relative costs that an operator assigns to too little and to too much
/// capacity. Only their ratio matters.
struct capacity_weights
{
    /// Cost of one second in which a needed group is not serving.
    double group_downtime_ = 1;
    /// Cost of one second in which the accelerators of a group are idle.
    double stranded_accelerators_ = 1;
};


/// Returns how long a surplus must last before a group is released. A group
/// needed again after its release is down for load_time while it loads its
/// weights, so the delay grows with the cost of downtime relative to that of
/// idle accelerators.
std::chrono::milliseconds scale_down_delay(
    const capacity_weights& weights, std::chrono::milliseconds load_time);

} // namespace monsoondock::capacity
