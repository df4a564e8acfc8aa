#include <monsoondock/placement/shortage_cost.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::placement {

double shortage_cost(double needed, double hosts) noexcept
{
    // Keeps the cost finite for a model without groups.
    constexpr double min_hosts = 0.5;
    constexpr double min_needed = 0.1;
    // High, as first tokens are late well before full utilisation.
    constexpr double cost_exponent = 5;
    const double n = std::max(needed, min_needed);
    const double utilisation = n / std::max(hosts, min_hosts);
    // Above full utilisation every request is late, so the cost only grows
    // linearly.
    if (utilisation > 1)
        return n * (1 + cost_exponent * (utilisation - 1));
    return n * std::pow(utilisation, cost_exponent);
}

} // namespace monsoondock::placement
