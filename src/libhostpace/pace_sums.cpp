#include <monsoondock/hostpace/pace_sums.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::hostpace {

namespace {

// Far above what all daemons together can measure within evidence_memory.
constexpr double max_sum_ms = 1e8;


bool is_valid(const level_sums& l)
{
    const bool empty = l.observed_ms_ == 0 && l.expected_ms_ == 0;
    // Comparisons with a number that is not finite are false.
    return empty || (l.observed_ms_ > 0 && l.observed_ms_ <= max_sum_ms &&
                     l.expected_ms_ > 0 && l.expected_ms_ <= max_sum_ms);
}

} // namespace

pace_sums decayed(pace_sums sums, fractional_ms age)
{
    const double weight =
        std::exp(-std::max(0.0, age / fractional_ms(evidence_memory)));
    for (level_sums& l : sums.levels_) {
        l.observed_ms_ *= weight;
        l.expected_ms_ *= weight;
    }
    return sums;
}


void add(pace_sums& sums, const pace_sums& more)
{
    for (std::size_t i = 0; i < load_levels; ++i) {
        sums.levels_.at(i).observed_ms_ += more.levels_.at(i).observed_ms_;
        sums.levels_.at(i).expected_ms_ += more.levels_.at(i).expected_ms_;
    }
}


level_sums total(const pace_sums& sums)
{
    level_sums result;
    for (const level_sums& l : sums.levels_) {
        result.observed_ms_ += l.observed_ms_;
        result.expected_ms_ += l.expected_ms_;
    }
    return result;
}


bool is_valid(const pace_sums& sums)
{
    return sums != pace_sums{} &&
           std::all_of(
               sums.levels_.begin(),
               sums.levels_.end(),
               [](const level_sums& l) { return is_valid(l); });
}

} // namespace monsoondock::hostpace
