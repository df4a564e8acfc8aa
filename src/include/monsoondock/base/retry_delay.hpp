#pragma once

#include <chrono>

namespace monsoondock::base {

/// Bounds of the pauses between calls that fail.
struct retry_bounds
{
    std::chrono::milliseconds first_;
    std::chrono::milliseconds last_;
};


/// Returns the pause after so many failures in a row, the first one being 0:
/// doubled each time up to the last bound, and spread over half of it to one
/// and a half by a number from 0 up to 1, so that callers that failed together
/// do not come back together.
std::chrono::milliseconds
retry_delay(unsigned failures, const retry_bounds& bounds, double draw);

} // namespace monsoondock::base
