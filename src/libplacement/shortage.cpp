#include <monsoondock/placement/shortage.hpp>

#include <algorithm>

namespace monsoondock::placement {

double shortage(double needed, double hosts) noexcept
{
    // Less than one host makes the cost finite for a model without groups.
    constexpr double least_hosts = 0.5;
    constexpr double least_needed = 0.1;
    const double n = std::max(needed, least_needed);
    const double use = n / std::max(hosts, least_hosts);
    return n * use * use * use;
}

} // namespace monsoondock::placement
