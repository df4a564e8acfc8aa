#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>

namespace monsoondock::relay {

/// Estimates the rate of arrivals as an exponentially decaying average.
class arrival_meter
{
public:
    /// Time constant of the decay. Covers several arrivals at a daemon that
    /// receives seven requests per second, and is short compared with the
    /// minutes over which demand changes.
    static constexpr std::chrono::milliseconds time_constant{2000};


    /// Records an arrival. Times must not decrease between calls.
    void add(base::time_point now);


    /// Returns the estimated number of arrivals per second.
    double rate_per_second(base::time_point now) const;

private:
    double weight_ = 0;
    base::time_point updated_at_;
};

} // namespace monsoondock::relay
