#include <monsoondock/load/percentiles.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace monsoondock::load {

namespace {

namespace acc = boost::accumulators;

using accumulator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::tail_quantile<acc::right>, acc::tag::max>>;


std::chrono::nanoseconds nanoseconds(double value)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(value));
}


std::chrono::nanoseconds quantile(const accumulator& a, double probability)
{
    return nanoseconds(
        acc::quantile(a, acc::quantile_probability = probability));
}

} // namespace

percentiles percentiles_of(const std::vector<std::chrono::nanoseconds>& samples)
{
    if (samples.empty())
        return {};
    // The tail holds every sample, so the quantiles are exact.
    accumulator a(acc::tag::tail<acc::right>::cache_size = samples.size());
    for (const std::chrono::nanoseconds sample : samples)
        a(static_cast<double>(sample.count()));
    return {
        samples.size(),
        quantile(a, 0.50),
        quantile(a, 0.90),
        quantile(a, 0.95),
        quantile(a, 0.99),
        nanoseconds(acc::max(a))};
}

} // namespace monsoondock::load
