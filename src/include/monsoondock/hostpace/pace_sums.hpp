#pragma once

#include <monsoondock/hostpace/load_level.hpp>

#include <array>

namespace monsoondock::hostpace {

/// Sums of measured times and of the times that were expected in their place.
struct level_sums
{
    double observed_ms_ = 0;
    double expected_ms_ = 0;

    friend bool operator==(const level_sums&, const level_sums&) = default;
};


/// Evidence of the pace of an upstream, by its load at the time. Evidence of
/// several daemons is added up.
struct pace_sums
{
    std::array<level_sums, load_levels> levels_;

    friend bool operator==(const pace_sums&, const pace_sums&) = default;
};


/// Time in which old evidence loses all but 1/e of its weight. Stragglers come
/// and go within seconds.
inline constexpr std::chrono::milliseconds evidence_memory{1000};


/// Returns the sums as they count after a time.
pace_sums decayed(pace_sums sums, fractional_ms age);


/// Adds evidence.
void add(pace_sums& sums, const pace_sums& more);


/// Returns the sums over all levels.
level_sums total(const pace_sums& sums);


/// Returns true when evidence from a peer can be used: each level is empty or
/// has finite sums above 0, and at least one is not empty.
bool is_valid(const pace_sums& sums);

} // namespace monsoondock::hostpace
