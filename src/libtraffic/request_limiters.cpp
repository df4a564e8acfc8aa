#include "request_limiters.hpp"

#include <algorithm>

namespace monsoondock::traffic::pvt {

namespace {

// Lower bound that keeps the burst tolerance finite for a rate of zero.
constexpr double min_rate_per_second = 1e-3;


// One request always conforms, so a burst of n needs a tolerance of n - 1
// intervals.
std::chrono::nanoseconds burst_tolerance(const workspace_row& row)
{
    const double ahead = std::max(row.request_burst_, 1.0) - 1.0;
    const std::chrono::duration<double> time(
        ahead / std::max(row.request_rate_, min_rate_per_second));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

} // namespace


std::chrono::nanoseconds
request_limiters::take(const workspace_row& row, base::time_point now)
{
    const std::lock_guard lock(mutex_);
    auto found = limiters_.find(row.workspace_);
    if (found == limiters_.end()) {
        const routing::gcra new_gcra(row.request_rate_, burst_tolerance(row));
        const limiter inserted{row.request_rate_, row.request_burst_, new_gcra};
        found = limiters_.emplace(row.workspace_, inserted).first;
    }
    limiter& l = found->second;
    if (l.rate_ != row.request_rate_ || l.burst_ != row.request_burst_) {
        l.gcra_.set_rate(row.request_rate_, now);
        l.gcra_.set_burst(burst_tolerance(row), now);
        l.rate_ = row.request_rate_;
        l.burst_ = row.request_burst_;
    }
    return l.gcra_.take(now);
}

} // namespace monsoondock::traffic::pvt
