#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/capacity/demand_history.hpp>

#include <chrono>
#include <vector>

namespace monsoondock::capacity {

/// One way in which the demand may develop.
struct demand_scenario
{
    double groups_ = 0;
    double weight_ = 0;
};


/// Peak demand within the horizon as a set of weighted scenarios. The
/// weights add up to 1, or the set is empty before any demand was measured.
struct demand_forecast
{
    std::vector<demand_scenario> scenarios_;
};


/// Forecasts the peak demand from now to now + horizon from the deployment's
/// own past: how demand changed within such a span in the last two hours,
/// and what it did at this time on the days before.
demand_forecast forecast(
    const demand_history& history,
    base::time_point now,
    std::chrono::minutes horizon);


/// Returns the probability that the demand needs at least n groups.
double chance_of_need(const demand_forecast& forecast, std::size_t n);

} // namespace monsoondock::capacity
