#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>

namespace monsoondock::relay {

/// Mean rate of arrivals over the last seconds, older ones counting less.
class arrival_meter
{
public:
    /// An arrival counts for this long on average: long enough for some
    /// arrivals at a daemon that gets seven a second, short against the
    /// minutes in which demand changes.
    static constexpr std::chrono::milliseconds memory{2000};


    /// Counts an arrival. Times must not go back.
    void add(base::time_point now);


    /// Returns arrivals a second.
    double a_second(base::time_point now) const;

private:
    double weight_ = 0;
    base::time_point at_;
};

} // namespace monsoondock::relay
