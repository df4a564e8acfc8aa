#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/routing/group_view.hpp>

#include <chrono>
#include <deque>
#include <unordered_map>

namespace monsoondock::routing {

/// What this daemon sent to each group and got back of late. It corrects load
/// reports, which lag.
class dispatch_history
{
public:
    /// A request was sent to the group.
    void dispatched(const base::group_id& group, base::time_point now);


    /// A request sent to the group is over.
    void finished(const base::group_id& group, base::time_point now);


    /// Returns the number of requests of this daemon in flight at the group.
    unsigned in_flight(const base::group_id& group) const;


    /// Returns the requests that the group is likely to hold now: its report,
    /// plus what was sent after it, less what came back after it, and never
    /// less than what this daemon has in flight there.
    unsigned estimate_load(const group_view& view) const;

private:
    struct trace
    {
        unsigned in_flight_ = 0;
        std::deque<base::time_point> dispatches_;
        std::deque<base::time_point> finishes_;
    };

    static void record(std::deque<base::time_point>& times, base::time_point t);

    std::unordered_map<base::group_id, trace> traces_;
};

} // namespace monsoondock::routing
