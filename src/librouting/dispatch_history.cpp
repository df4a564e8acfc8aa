#include <monsoondock/routing/dispatch_history.hpp>

#include <algorithm>

namespace monsoondock::routing {

namespace {

// Older dispatches than any report that is still used.
constexpr std::chrono::seconds HISTORY_LENGTH{10};


unsigned
count_after(const std::deque<base::time_point>& times, base::time_point since)
{
    const auto first = std::upper_bound(times.begin(), times.end(), since);
    return static_cast<unsigned>(times.end() - first);
}

} // namespace


void dispatch_history::record(
    std::deque<base::time_point>& times, base::time_point t)
{
    times.push_back(t);
    while (times.front() < t - HISTORY_LENGTH)
        times.pop_front();
}


void dispatch_history::dispatched(
    const base::group_id& group, base::time_point now)
{
    trace& t = traces_[group];
    ++t.in_flight_;
    record(t.dispatches_, now);
}


void dispatch_history::finished(
    const base::group_id& group, base::time_point now)
{
    trace& t = traces_[group];
    if (t.in_flight_ > 0)
        --t.in_flight_;
    record(t.finishes_, now);
}


unsigned dispatch_history::in_flight(const base::group_id& group) const
{
    const auto found = traces_.find(group);
    return found == traces_.end() ? 0 : found->second.in_flight_;
}


unsigned dispatch_history::estimate_load(const group_view& view) const
{
    const unsigned reported = view.report_.running_ + view.report_.queued_;
    const auto found = traces_.find(view.group_);
    if (found == traces_.end())
        return reported;
    const trace& t = found->second;
    const unsigned sent = count_after(t.dispatches_, view.report_.taken_at_);
    const unsigned back = count_after(t.finishes_, view.report_.taken_at_);
    const unsigned sum = reported + sent;
    return std::max(t.in_flight_, sum > back ? sum - back : 0U);
}

} // namespace monsoondock::routing
