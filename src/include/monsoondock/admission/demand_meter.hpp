#pragma once

#include <monsoondock/admission/prediction.hpp>
#include <monsoondock/base/boot_clock.hpp>

#include <chrono>
#include <map>

namespace monsoondock::admission {

/// Measures the requests of one model that arrive at this daemon, by priority,
/// as exponentially decaying averages.
class demand_meter
{
public:
    /// Covers more than ten arrivals at a daemon that receives seven requests
    /// per second.
    static constexpr std::chrono::milliseconds time_constant{2000};


    /// Records an arrival; refused_first is true for one of a workspace over
    /// its share or of a caller that has returned. Times must not decrease
    /// between calls.
    void add(unsigned priority, bool refused_first, base::time_point now);


    /// Returns the load as a request of this priority meets it, if every one of
    /// the daemons gets as many requests as this one and the upstreams together
    /// complete this many in a second.
    urgent_load load(
        unsigned priority,
        double completions_per_second,
        unsigned daemons,
        base::time_point now) const;


    /// Returns the part of the latest arrivals that are refused first, from 0
    /// to 1.
    double refused_first_share() const;

private:
    double decay_to(base::time_point now) const;

    std::map<unsigned, double> by_priority_;
    double all_ = 0;
    double refused_first_ = 0;
    base::time_point updated_at_;
};

} // namespace monsoondock::admission
