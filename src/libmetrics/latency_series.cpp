#include <monsoondock/metrics/latency_series.hpp>

#include <algorithm>

namespace monsoondock::metrics {

void observe(latency_series& series, std::chrono::nanoseconds value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    series.totals_(seconds);
    const auto* bound = std::lower_bound(
        bucket_bounds_s.begin(), bucket_bounds_s.end(), seconds);
    const auto bucket =
        static_cast<std::size_t>(bound - bucket_bounds_s.begin());
    ++series.buckets_.at(bucket);
}

} // namespace monsoondock::metrics
