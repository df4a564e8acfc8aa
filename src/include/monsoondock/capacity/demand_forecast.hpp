#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/capacity/demand_history.hpp>

#include <chrono>
#include <vector>

namespace monsoondock::capacity {

/// One possible peak demand, in groups, with its probability.
struct demand_scenario
{
    double groups_ = 0;
    double weight_ = 0;
};


/// Probability distribution of the peak demand within a horizon, as weighted
/// scenarios. The weights add up to 1; without any measured demand there are no
/// scenarios.
struct demand_forecast
{
    std::vector<demand_scenario> scenarios_;
};


/// Forecasts the peak demand between now and now + horizon from a deployment's
/// history: the changes over spans of that length within the last two hours,
/// and the demand at this time of day on previous days.
demand_forecast forecast(
    const demand_history& history,
    base::time_point now,
    std::chrono::minutes horizon);


/// Returns the probability that the peak demand needs at least n groups.
double need_probability(const demand_forecast& forecast, std::size_t n);

} // namespace monsoondock::capacity
