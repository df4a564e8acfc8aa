#include <monsoondock/capacity/demand_forecast.hpp>

#include <algorithm>
#include <optional>

namespace monsoondock::capacity {

namespace {

constexpr std::int64_t slots_per_day = std::chrono::hours(24) / slot_length;
constexpr std::int64_t recent_slots = std::chrono::hours(2) / slot_length;
// Lower bound on demand in ratios, as ratios of small values are unreliable.
constexpr double min_ratio_groups = 0.25;
constexpr double max_ratio = 2.0;


// Returns the peak demand in slots [first, last], or nothing if none of them
// was measured.
std::optional<double> peak_between(
    const demand_history& history, std::int64_t first, std::int64_t last)
{
    std::optional<double> peak;
    const auto& slots = history.slots_;
    auto it = std::lower_bound(
        slots.begin(),
        slots.end(),
        first,
        [](const demand_slot& slot, std::int64_t index) {
            return slot.index_ < index;
        });
    for (; it != slots.end() && it->index_ <= last; ++it)
        peak = std::max(peak.value_or(0), it->peak_groups_);
    return peak;
}


double ratio_operand(double groups)
{
    return std::max(groups, min_ratio_groups);
}


// Applies the relative changes over recent spans of this length to the current
// demand.
std::vector<double> recent_scenarios(
    const demand_history& history, std::int64_t now, std::int64_t span)
{
    std::vector<double> result;
    const double current = history.slots_.back().peak_groups_;
    for (std::int64_t at = now - recent_slots; at + span <= now; ++at) {
        const auto then = peak_between(history, at, at);
        const auto peak = peak_between(history, at, at + span);
        if (!then || !peak)
            continue;
        const double ratio = ratio_operand(*peak) / ratio_operand(*then);
        result.push_back(current * std::min(ratio, max_ratio));
    }
    result.push_back(current);
    return result;
}


// Peak demand at this time of day on previous days, scaled by the ratio of
// today's latest slots to the same slots of that day.
std::vector<double> daily_scenarios(
    const demand_history& history, std::int64_t now, std::int64_t span)
{
    constexpr std::int64_t compared_slots = 3;
    std::vector<double> result;
    const auto today = peak_between(history, now - compared_slots, now);
    for (int day = 1; day <= history_days; ++day) {
        const std::int64_t then = now - day * slots_per_day;
        const auto before = peak_between(history, then - compared_slots, then);
        const auto peak = peak_between(history, then, then + span);
        if (!before || !peak || !today)
            continue;
        const double scale = std::clamp(
            ratio_operand(*today) / ratio_operand(*before),
            1 / max_ratio,
            max_ratio);
        result.push_back(*peak * scale);
    }
    return result;
}


void add_scenarios(
    demand_forecast& result, const std::vector<double>& peaks, double weight)
{
    for (const double peak : peaks)
        result.scenarios_.push_back(
            {peak, weight / static_cast<double>(peaks.size())});
}

} // namespace

demand_forecast forecast(
    const demand_history& history,
    base::time_point now,
    std::chrono::minutes horizon)
{
    demand_forecast result;
    if (history.slots_.empty())
        return result;
    const std::int64_t index = now.time_since_epoch() / slot_length;
    const std::int64_t span = std::max<std::int64_t>(1, horizon / slot_length);
    const auto recent = recent_scenarios(history, index, span);
    const auto daily = daily_scenarios(history, index, span);
    const double daily_weight = daily.empty() ? 0.0 : 0.5;
    add_scenarios(result, recent, 1.0 - daily_weight);
    add_scenarios(result, daily, daily_weight);
    return result;
}


double need_probability(const demand_forecast& forecast, std::size_t n)
{
    double probability = 0;
    // The n-th group is needed by any demand above n - 1 groups.
    const double below = static_cast<double>(n) - 1.0;
    for (const demand_scenario& s : forecast.scenarios_) {
        if (s.groups_ > below)
            probability += s.weight_;
    }
    return probability;
}

} // namespace monsoondock::capacity
