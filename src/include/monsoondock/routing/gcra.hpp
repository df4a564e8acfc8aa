#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>

namespace monsoondock::routing {

/// Rate limiter with a burst allowance (generic cell rate algorithm). Its only
/// state is the theoretical arrival time of the next unit.
class gcra
{
public:
    /// Limits the rate to per_second units per second. The burst allowance is
    /// the number of units that the rate yields in the given time.
    gcra(double per_second, std::chrono::nanoseconds burst);


    /// Changes the rate. The remaining waiting time is scaled accordingly, so
    /// that an increase takes effect immediately.
    void set_rate(double per_second, base::time_point now);


    /// Changes the burst allowance. What was already taken in advance is
    /// limited to the new allowance.
    void set_burst(std::chrono::nanoseconds burst, base::time_point now);


    /// Takes one unit and returns zero if the limit allows it. Otherwise takes
    /// nothing and returns the time until it would be allowed.
    std::chrono::nanoseconds take(base::time_point now);

private:
    double per_second_;
    std::chrono::nanoseconds burst_;
    base::time_point theoretical_arrival_;
};

} // namespace monsoondock::routing
