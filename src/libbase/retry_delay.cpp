#include <monsoondock/base/retry_delay.hpp>

#include <algorithm>

namespace monsoondock::base {

std::chrono::milliseconds
retry_delay(unsigned failures, const retry_bounds& bounds, double draw)
{
    // More doublings would overflow and reach any sensible bound before.
    constexpr unsigned most_doublings = 20;
    const auto pause = std::min(
        bounds.first_ * (1U << std::min(failures, most_doublings)),
        bounds.last_);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        pause * (0.5 + draw));
}

} // namespace monsoondock::base
