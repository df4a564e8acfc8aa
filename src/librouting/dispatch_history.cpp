#include <monsoondock/routing/dispatch_history.hpp>

#include <algorithm>

namespace monsoondock::routing {

namespace {

// Must exceed the age of any load report that is still used.
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
    group_history& h = group_histories_[group];
    ++h.in_flight_;
    record(h.dispatches_, now);
}


void dispatch_history::finished(
    const base::group_id& group, base::time_point now)
{
    group_history& h = group_histories_[group];
    if (h.in_flight_ > 0)
        --h.in_flight_;
    record(h.finishes_, now);
}


unsigned dispatch_history::in_flight(const base::group_id& group) const
{
    const auto found = group_histories_.find(group);
    return found == group_histories_.end() ? 0 : found->second.in_flight_;
}


unsigned dispatch_history::estimate_load(const group_view& view) const
{
    const unsigned reported = view.report_.running_ + view.report_.queued_;
    const auto found = group_histories_.find(view.group_);
    if (found == group_histories_.end())
        return reported;
    const group_history& h = found->second;
    const unsigned dispatched_since =
        count_after(h.dispatches_, view.report_.taken_at_);
    const unsigned finished_since =
        count_after(h.finishes_, view.report_.taken_at_);
    const unsigned total = reported + dispatched_since;
    return std::max(
        h.in_flight_, total > finished_since ? total - finished_since : 0U);
}

} // namespace monsoondock::routing
