#include <monsoondock/placement/shortage.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::placement {

double shortage(double needed, double hosts) noexcept
{
    // Less than one host makes the cost finite for a model without groups.
    constexpr double least_hosts = 0.5;
    constexpr double least_needed = 0.1;
    // First tokens are late well before groups are fully used.
    constexpr double steepness = 5;
    const double n = std::max(needed, least_needed);
    const double use = n / std::max(hosts, least_hosts);
    // Above full use everything is late, whatever the use.
    if (use > 1)
        return n * (1 + steepness * (use - 1));
    return n * std::pow(use, steepness);
}

} // namespace monsoondock::placement
