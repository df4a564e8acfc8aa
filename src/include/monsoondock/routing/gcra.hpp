#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>

namespace monsoondock::routing {

/// Generic cell rate algorithm: a rate limit with a burst, whose whole state is
/// one point in time.
class gcra
{
public:
    /// Limit in units a second, with a burst of so much time's worth.
    gcra(double per_second, std::chrono::nanoseconds burst);


    /// Changes the rate. Time still to wait changes in proportion, so that a
    /// rate that was low for a while does not block a high one.
    void set_rate(double per_second, base::time_point now);


    /// Changes the burst. Time still to wait is cut to what the new burst
    /// allows to be taken ahead.
    void set_burst(std::chrono::nanoseconds burst, base::time_point now);


    /// Takes one unit. Returns zero when the limit allows it, else the time
    /// after which it would, and takes nothing.
    std::chrono::nanoseconds take(base::time_point now);

private:
    double per_second_;
    std::chrono::nanoseconds burst_;
    base::time_point next_;
};

} // namespace monsoondock::routing
