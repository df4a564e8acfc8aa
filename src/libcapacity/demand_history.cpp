#include <monsoondock/capacity/demand_history.hpp>

#include <algorithm>

namespace monsoondock::capacity {

namespace {

constexpr std::int64_t slots_per_history =
    std::chrono::hours(24) * history_days / slot_length;

} // namespace

void add_demand(demand_history& history, double groups, base::time_point now)
{
    const std::int64_t index = now.time_since_epoch() / slot_length;
    auto& slots = history.slots_;
    if (!slots.empty() && slots.back().index_ == index) {
        slots.back().peak_groups_ = std::max(slots.back().peak_groups_, groups);
        return;
    }
    slots.push_back({index, groups});
    while (slots.front().index_ + slots_per_history < index)
        slots.pop_front();
}

} // namespace monsoondock::capacity
