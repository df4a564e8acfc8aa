#include <monsoondock/capacity/capacity_weights.hpp>

#include <algorithm>

namespace monsoondock::capacity {

namespace {

// Limits of the delay, in multiples of the load time.
constexpr double min_delay_load_times = 0.125;
constexpr double max_delay_load_times = 3.0;

} // namespace

std::chrono::milliseconds scale_down_delay(
    const capacity_weights& weights, std::chrono::milliseconds load_time)
{
    const double stranded = std::max(weights.stranded_accelerators_, 1e-6);
    const double load_times = std::clamp(
        weights.group_downtime_ / stranded / 2,
        min_delay_load_times,
        max_delay_load_times);
    const auto ms = load_times * static_cast<double>(load_time.count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(ms));
}

} // namespace monsoondock::capacity
