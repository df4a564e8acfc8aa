#include <monsoondock/groups/pacing.hpp>

#include <algorithm>

namespace monsoondock::groups {

std::chrono::milliseconds paced_interval(
    std::size_t messages,
    std::size_t bytes_each,
    std::size_t bytes_per_second,
    std::chrono::milliseconds shortest,
    std::chrono::milliseconds longest)
{
    const std::chrono::milliseconds needed(
        messages * bytes_each * 1000 / bytes_per_second);
    return std::clamp(needed, shortest, longest);
}

} // namespace monsoondock::groups
