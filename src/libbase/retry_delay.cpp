#include <monsoondock/base/retry_delay.hpp>

#include <algorithm>

namespace monsoondock::base {

std::chrono::milliseconds retry_delay(
    unsigned failures, const retry_bounds& bounds, double random_fraction)
{
    // Prevents overflow; any practical maximum is reached much earlier.
    constexpr unsigned max_doublings = 20;
    const auto delay = std::min(
        bounds.initial_ * (1U << std::min(failures, max_doublings)),
        bounds.max_);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        delay * (0.5 + random_fraction));
}

} // namespace monsoondock::base
