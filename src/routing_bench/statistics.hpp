#pragma once

#include <chrono>
#include <vector>

namespace monsoondock::routing_bench {

/// Returns the value below which the share of all samples lies; zero without
/// samples.
std::chrono::nanoseconds
percentile(std::vector<std::chrono::nanoseconds> samples, double share);


/// Returns a length of time as a number of milliseconds.
double milliseconds_of(std::chrono::nanoseconds d);


/// Returns a length of time in seconds as a std::chrono duration.
std::chrono::nanoseconds seconds_to_duration(double seconds);

} // namespace monsoondock::routing_bench
