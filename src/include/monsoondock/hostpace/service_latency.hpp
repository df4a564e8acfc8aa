#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/hostpace/load_level.hpp>

#include <array>
#include <optional>
#include <unordered_map>

namespace monsoondock::hostpace {

/// Latencies of the hosts of one plain service, which has no figures from which
/// they could be predicted. What is expected of a host is the median of all
/// hosts at a similar load.
class service_latency
{
public:
    /// Records the latency of a call.
    void
    add(const base::host_id& host,
        std::size_t level,
        fractional_ms latency,
        base::time_point now);


    /// Returns the latency that is expected at a level of load: the median of
    /// the means of the hosts at this level or, for a host without one, the
    /// closest level that it has. Nothing before two hosts are known.
    std::optional<fractional_ms>
    expected(std::size_t level, base::time_point now) const;

private:
    struct mean
    {
        double ms_ = 0;
        base::time_point at_;
    };

    using host_means = std::array<mean, load_levels>;

    static std::optional<double>
    closest(const host_means& means, std::size_t level, base::time_point now);

    std::unordered_map<base::host_id, host_means> hosts_;
};

} // namespace monsoondock::hostpace
