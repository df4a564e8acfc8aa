#pragma once

#include <chrono>
#include <vector>

namespace monsoondock::routing_bench {

/// Returns the quantile of samples for a probability from 0 to 1, without
/// interpolation; zero when there are no samples.
std::chrono::nanoseconds
percentile(std::vector<std::chrono::nanoseconds> samples, double probability);


/// Converts a duration to milliseconds.
double milliseconds_of(std::chrono::nanoseconds d);


/// Converts seconds to a duration.
std::chrono::nanoseconds seconds_to_duration(double seconds);

} // namespace monsoondock::routing_bench
