#include <monsoondock/hostpace/service_latency.hpp>

#include <algorithm>
#include <vector>

namespace monsoondock::hostpace {

namespace {

// Weight of a new latency in the mean of a host.
constexpr double latency_weight = 0.2;
// Means that were not confirmed for this time are not used.
constexpr std::chrono::seconds mean_memory{30};
constexpr std::size_t min_known_hosts = 2;
// Bounds the memory; hosts come and go.
constexpr std::size_t max_hosts = 1024;

} // namespace

void service_latency::add(
    const base::host_id& host,
    std::size_t level,
    fractional_ms latency,
    base::time_point now)
{
    if (hosts_.size() >= max_hosts && !hosts_.contains(host))
        hosts_.clear();
    mean& m = hosts_[host].at(level);
    if (m.at_ == base::time_point() || now - m.at_ > mean_memory)
        m.ms_ = latency.count();
    else
        m.ms_ += latency_weight * (latency.count() - m.ms_);
    m.at_ = now;
}


std::optional<double> service_latency::closest(
    const host_means& means, std::size_t level, base::time_point now)
{
    std::optional<double> found;
    std::size_t distance = load_levels;
    for (std::size_t i = 0; i < load_levels; ++i) {
        const mean& m = means.at(i);
        const std::size_t d = i > level ? i - level : level - i;
        if (m.at_ == base::time_point() || now - m.at_ > mean_memory ||
            d >= distance)
            continue;
        found = m.ms_;
        distance = d;
    }
    return found;
}


std::optional<fractional_ms>
service_latency::expected(std::size_t level, base::time_point now) const
{
    std::vector<double> known;
    for (const auto& [host, means] : hosts_) {
        if (const auto ms = closest(means, level, now))
            known.push_back(*ms);
    }
    if (known.size() < min_known_hosts)
        return std::nullopt;
    const auto middle =
        known.begin() + static_cast<long>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    return fractional_ms(*middle);
}

} // namespace monsoondock::hostpace
