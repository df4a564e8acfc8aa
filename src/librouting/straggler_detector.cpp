#include <monsoondock/routing/straggler_detector.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace monsoondock::routing {

namespace {

constexpr double NEW_SAMPLE_WEIGHT = 0.2;

} // namespace


straggler_detector::straggler_detector(ejection_bounds bounds) : bounds_(bounds)
{}


void straggler_detector::observe(
    const base::group_id& group,
    std::chrono::nanoseconds token_interval,
    base::time_point now)
{
    group_timing& s = timings_[group];
    const auto sample = static_cast<double>(token_interval.count());
    const double weight = s.samples_ == 0 ? 1 : NEW_SAMPLE_WEIGHT;
    s.interval_ns_ += weight * (sample - s.interval_ns_);
    ++s.samples_;
    const bool has_enough_samples = s.samples_ >= bounds_.min_samples_;
    if (!has_enough_samples ||
        s.interval_ns_ <= bounds_.straggler_ratio_ * median_interval())
        return;
    if (s.ejected_until_ > now)
        return;
    s.ejected_until_ = now + bounds_.ejection_time_;
    // After the ejection time fewer samples are needed to eject it again.
    s.samples_ = bounds_.min_samples_ / 2;
}


double straggler_detector::median_interval() const
{
    std::vector<double> intervals;
    intervals.reserve(timings_.size());
    for (const auto& [group, s] : timings_)
        intervals.push_back(s.interval_ns_);
    const auto middle =
        intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 2);
    std::nth_element(intervals.begin(), middle, intervals.end());
    return *middle;
}


std::set<base::group_id>
straggler_detector::ejected(std::size_t groups, base::time_point now) const
{
    std::vector<std::pair<double, base::group_id>> slow;
    for (const auto& [group, s] : timings_)
        if (s.ejected_until_ > now)
            slow.emplace_back(-s.interval_ns_, group);
    std::sort(slow.begin(), slow.end());
    const auto max_ejected = static_cast<std::size_t>(
        std::floor(static_cast<double>(groups) * bounds_.max_ejected_share_));
    slow.resize(std::min(max_ejected, slow.size()));
    std::set<base::group_id> ejected_groups;
    for (auto& [interval, group] : slow)
        ejected_groups.insert(std::move(group));
    return ejected_groups;
}

} // namespace monsoondock::routing
