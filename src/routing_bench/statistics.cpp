#include "statistics.hpp"

#include <algorithm>

namespace monsoondock::routing_bench {

std::chrono::nanoseconds
percentile(std::vector<std::chrono::nanoseconds> samples, double probability)
{
    if (samples.empty())
        return std::chrono::nanoseconds(0);
    const auto last = static_cast<double>(samples.size() - 1);
    const auto position = static_cast<std::ptrdiff_t>(last * probability);
    const auto found = samples.begin() + position;
    std::nth_element(samples.begin(), found, samples.end());
    return *found;
}


double milliseconds_of(std::chrono::nanoseconds d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}


std::chrono::nanoseconds seconds_to_duration(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds));
}

} // namespace monsoondock::routing_bench
