#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace monsoondock::metrics {

/// Upper bounds of the histogram buckets, in seconds.
inline constexpr std::array<double, 14> bucket_bounds_s{
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.068,
    0.1,
    0.25,
    0.5,
    0.94,
    2.5,
    10.0,
    60.0};

/// Latency histogram with the count, sum and maximum of its observations, in
/// seconds.
struct latency_series
{
    using totals = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count,
            boost::accumulators::tag::sum,
            boost::accumulators::tag::max>>;

    totals totals_;
    /// Observations per bucket, not cumulative. The last bucket holds the
    /// values above all bounds.
    std::array<std::uint64_t, bucket_bounds_s.size() + 1> buckets_{};
};


/// Adds one observation.
void observe(latency_series& series, std::chrono::nanoseconds value);

} // namespace monsoondock::metrics
