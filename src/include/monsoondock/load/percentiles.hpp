#pragma once

#include <chrono>
#include <vector>

namespace monsoondock::load {

/// Percentiles of a set of durations.
struct percentiles
{
    std::size_t count_ = 0;
    std::chrono::nanoseconds p50_{0};
    std::chrono::nanoseconds p90_{0};
    std::chrono::nanoseconds p95_{0};
    std::chrono::nanoseconds p99_{0};
    std::chrono::nanoseconds max_{0};
};


/// Returns the exact percentiles of samples; all zero when there are none.
percentiles
percentiles_of(const std::vector<std::chrono::nanoseconds>& samples);

} // namespace monsoondock::load
