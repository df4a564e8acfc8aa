#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/routing/group_view.hpp>

#include <chrono>
#include <deque>
#include <unordered_map>

namespace monsoondock::routing {

/// Recent dispatches and completions of this daemon for each group. They
/// correct the load reports of the groups, which arrive with a delay.
class dispatch_history
{
public:
    /// Records that a request was sent to the group.
    void dispatched(const base::group_id& group, base::time_point now);


    /// Records that a request sent to the group ended.
    void finished(const base::group_id& group, base::time_point now);


    /// Returns the number of requests of this daemon in flight at the group.
    unsigned in_flight(const base::group_id& group) const;


    /// Estimates the number of requests at the group now: the number that it
    /// reported, plus the requests dispatched and less those finished since the
    /// report, but at least the number that this daemon has in flight there.
    unsigned estimate_load(const group_view& view) const;

private:
    struct group_history
    {
        unsigned in_flight_ = 0;
        std::deque<base::time_point> dispatches_;
        std::deque<base::time_point> finishes_;
    };

    static void record(std::deque<base::time_point>& times, base::time_point t);

    std::unordered_map<base::group_id, group_history> group_histories_;
};

} // namespace monsoondock::routing
