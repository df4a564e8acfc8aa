#include "request_limiters.hpp"

#include <algorithm>

namespace monsoondock::traffic::pvt {

namespace {

// Keeps the time finite whatever the row holds.
constexpr double min_rate_per_second = 1e-3;


// The first request of a burst needs no time ahead.
std::chrono::nanoseconds burst_time(const workspace_row& row)
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
        const routing::gcra fresh(row.request_rate_, burst_time(row));
        const limiter made{row.request_rate_, row.request_burst_, fresh};
        found = limiters_.emplace(row.workspace_, made).first;
    }
    limiter& l = found->second;
    if (l.rate_ != row.request_rate_ || l.burst_ != row.request_burst_) {
        l.gcra_.set_rate(row.request_rate_, now);
        l.gcra_.set_burst(burst_time(row), now);
        l.rate_ = row.request_rate_;
        l.burst_ = row.request_burst_;
    }
    return l.gcra_.take(now);
}

} // namespace monsoondock::traffic::pvt
