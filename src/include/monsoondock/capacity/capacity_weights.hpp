#pragma once

#include <chrono>

namespace monsoondock::capacity {

/// What an operator holds against two ways of being wrong. Only their ratio
/// matters.
struct capacity_weights
{
    /// Cost of a second in which a wanted group does not serve.
    double group_downtime_ = 1;
    /// Cost of a second in which the accelerators of a group stand idle.
    double stranded_accelerators_ = 1;
};


/// Returns how long a surplus must last before a group is given up. A load
/// lasts load_time and leaves its group down meanwhile, so it is waited the
/// longer the dearer downtime is against idle accelerators.
std::chrono::milliseconds shrink_delay(
    const capacity_weights& weights, std::chrono::milliseconds load_time);

} // namespace monsoondock::capacity
