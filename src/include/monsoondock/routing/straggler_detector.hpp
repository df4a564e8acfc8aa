#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <chrono>
#include <set>
#include <unordered_map>

namespace monsoondock::routing {

/// Limits of straggler ejection.
struct ejection_bounds
{
    /// Multiple of the median token interval above which a group is a
    /// straggler.
    double straggler_ratio_ = 2.0;
    /// Minimum number of samples before a group can be ejected.
    unsigned min_samples_ = 8;
    /// Maximum fraction of the groups that may be ejected at the same time.
    double max_ejected_share_ = 0.25;
    /// Time after which an ejected group is used again.
    std::chrono::milliseconds ejection_time_{20000};
};


/// Detects groups whose time between tokens is much longer than the median and
/// ejects them temporarily. The time between tokens is used because it hardly
/// depends on load. At most max_ejected_share_ of all groups are ejected, the
/// slowest first.
class straggler_detector
{
public:
    explicit straggler_detector(ejection_bounds bounds = {});


    /// Records the mean time between the tokens of one response.
    void observe(
        const base::group_id& group,
        std::chrono::nanoseconds token_interval,
        base::time_point now);


    /// Returns the groups to which no new requests should be sent. The
    /// parameter groups is the total number of usable groups.
    std::set<base::group_id>
    ejected(std::size_t groups, base::time_point now) const;

private:
    struct group_timing
    {
        double interval_ns_ = 0;
        unsigned samples_ = 0;
        base::time_point ejected_until_;
    };

    double median_interval() const;

    ejection_bounds bounds_;
    std::unordered_map<base::group_id, group_timing> timings_;
};

} // namespace monsoondock::routing
