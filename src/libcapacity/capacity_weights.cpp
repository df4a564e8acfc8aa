#include <monsoondock/capacity/capacity_weights.hpp>

#include <algorithm>

namespace monsoondock::capacity {

namespace {

constexpr double shortest_in_load_times = 0.125;
constexpr double longest_in_load_times = 3.0;

} // namespace

std::chrono::milliseconds shrink_delay(
    const capacity_weights& weights, std::chrono::milliseconds load_time)
{
    const double stranded = std::max(weights.stranded_accelerators_, 1e-6);
    const double load_times = std::clamp(
        weights.group_downtime_ / stranded / 2,
        shortest_in_load_times,
        longest_in_load_times);
    const auto ms = load_times * static_cast<double>(load_time.count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(ms));
}

} // namespace monsoondock::capacity
