#pragma once

#include <monsoondock/relay/drain_schedule.hpp>

#include <chrono>

namespace monsoondock::entry::pvt {

/// Returns the times of a shutdown that begins at start, but when others will
/// be ready. grace is the time until the process is killed; address_lifetime is
/// how long callers may use the address of this daemon after they have received
/// it.
relay::drain_schedule plan_shutdown(
    base::time_point start,
    std::chrono::milliseconds grace,
    std::chrono::milliseconds address_lifetime);

} // namespace monsoondock::entry::pvt
