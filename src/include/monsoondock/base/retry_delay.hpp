#pragma once

#include <chrono>

namespace monsoondock::base {

/// Initial and maximum delay of an exponential backoff, before jitter.
struct retry_bounds
{
    std::chrono::milliseconds initial_;
    std::chrono::milliseconds max_;
};


/// Returns the delay before the next retry: exponential backoff with jitter.
/// The delay starts at the initial one for failures = 0, doubles with each
/// further consecutive failure up to the maximum, and is then multiplied by
/// (0.5 + random_fraction), where random_fraction is in [0, 1). The jitter
/// keeps callers that failed at the same time from retrying at the same time.
std::chrono::milliseconds retry_delay(
    unsigned failures, const retry_bounds& bounds, double random_fraction);

} // namespace monsoondock::base
