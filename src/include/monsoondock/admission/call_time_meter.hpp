#pragma once

#include <monsoondock/admission/service_times.hpp>

namespace monsoondock::admission {

/// Moving average of the time that a plain service takes for a call, from calls
/// that did not wait for a slot.
class call_time_meter
{
public:
    /// Weight of a new measurement. About 50 calls, some seconds of one
    /// daemon, renew the average.
    static constexpr double weight = 0.05;
    /// Measurements before the average is used.
    static constexpr unsigned min_measurements = 20;


    /// Adds a measurement; negative ones are ignored.
    void add(milliseconds call);


    /// Returns the average, 0 before min_measurements.
    milliseconds average() const;

private:
    milliseconds average_{0};
    unsigned measurements_ = 0;
};

} // namespace monsoondock::admission
