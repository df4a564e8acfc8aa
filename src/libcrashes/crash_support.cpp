#include "crash_support.hpp"

#include <algorithm>

namespace monsoondock::crashes::pvt {

crash_support
support_of(const std::deque<lost_request>& lost, const part_set& parts)
{
    crash_support support;
    for (const lost_request& l : lost) {
        if (!holds(l.parts_, parts))
            continue;
        support.host_runs_.insert(l.host_run_);
        support.requests_.insert(l.request_);
        support.first_ = std::min(support.first_, l.time_);
        support.last_ = std::max(support.last_, l.time_);
        if (!l.begun_)
            continue;
        support.begun_host_runs_.insert(l.host_run_);
        support.begun_requests_.insert(l.request_);
    }
    return support;
}


std::vector<suspected_set>
suspected_sets(const std::deque<lost_request>& lost, const lost_request& latest)
{
    std::set<part_set> common;
    for (const lost_request& l : lost) {
        if (l.request_ != latest.request_)
            common.insert(common_parts(l.parts_, latest.parts_));
    }
    common.erase(part_set());
    std::vector<suspected_set> sets;
    sets.reserve(common.size());
    for (const part_set& parts : common)
        sets.push_back({parts, support_of(lost, parts)});
    std::stable_sort(
        sets.begin(),
        sets.end(),
        [](const suspected_set& a, const suspected_set& b) {
            if (a.parts_.size() != b.parts_.size())
                return a.parts_.size() > b.parts_.size();
            return a.support_.host_runs_.size() > b.support_.host_runs_.size();
        });
    return sets;
}


bool explains_as_much(const crash_support& closer, const crash_support& support)
{
    constexpr std::size_t min_share = 4;
    return closer.host_runs_ == support.host_runs_ &&
           closer.requests_.size() * min_share >= support.requests_.size();
}


bool has_closer_explanation(
    const std::deque<lost_request>& lost, const suspected_set& suspected)
{
    std::set<part_set> closer;
    for (std::size_t i = 0; i < lost.size(); ++i) {
        if (!holds(lost[i].parts_, suspected.parts_))
            continue;
        for (std::size_t j = i; j < lost.size(); ++j) {
            if (holds(lost[j].parts_, suspected.parts_))
                closer.insert(common_parts(lost[i].parts_, lost[j].parts_));
        }
    }
    closer.erase(suspected.parts_);
    return std::any_of(closer.begin(), closer.end(), [&](const part_set& c) {
        return explains_as_much(support_of(lost, c), suspected.support_);
    });
}

} // namespace monsoondock::crashes::pvt
