#pragma once

#include <monsoondock/relay/drain_schedule.hpp>

#include <chrono>

namespace monsoondock::relay::pvt {

/// Returns how long a caller that is rejected during a shutdown should wait
/// before it tries again: not at all if other daemons are ready, else about as
/// long as it takes until one is.
std::chrono::milliseconds
rejection_pause(const drain_schedule& schedule, base::time_point now) noexcept;

} // namespace monsoondock::relay::pvt
