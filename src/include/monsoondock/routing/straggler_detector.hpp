#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <chrono>
#include <set>
#include <unordered_map>

namespace monsoondock::routing {

/// Bounds of straggler ejection.
struct ejection_bounds
{
    /// Multiple of the median interval above which a group is a straggler.
    double slowness_ = 2.0;
    /// Samples needed before a group is judged.
    unsigned samples_ = 8;
    /// Largest share of the groups that may be ejected at once.
    double largest_share_ = 0.25;
    /// How long a group stays ejected before it is tried again.
    std::chrono::milliseconds period_{20000};
};


/// Finds groups that are much slower than the others by the time between
/// tokens, which hardly depends on load, and ejects them for a period. Never
/// ejects more than a share of all groups, the slowest first.
class straggler_detector
{
public:
    explicit straggler_detector(ejection_bounds bounds = {});


    /// Takes the mean time between tokens of one answer.
    void observe(
        const base::group_id& group,
        std::chrono::nanoseconds token_interval,
        base::time_point now);


    /// Returns the groups to which no new request should go. Groups is the
    /// number of groups that could be used.
    std::set<base::group_id>
    ejected(std::size_t groups, base::time_point now) const;

private:
    struct speed
    {
        double interval_ns_ = 0;
        unsigned samples_ = 0;
        base::time_point ejected_until_;
    };

    double median_interval() const;

    ejection_bounds bounds_;
    std::unordered_map<base::group_id, speed> speeds_;
};

} // namespace monsoondock::routing
