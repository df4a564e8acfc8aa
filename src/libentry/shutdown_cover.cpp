#include "shutdown_cover.hpp"

#include <algorithm>
#include <vector>

namespace monsoondock::entry::pvt {

namespace {

using membership::member;
using membership::member_state;

// Shutdowns that begin within this time of the first of them are ordered by
// name: daemons learn of each other's shutdowns with different delays, and
// would disagree about the order.
constexpr std::chrono::milliseconds same_time{250};


constexpr std::chrono::milliseconds covering_ttl{250};

// Time from the end of a daemon until it is ready again.
constexpr std::chrono::milliseconds restart_time{1000};

// Time from the start of a daemon until it is ready.
constexpr std::chrono::milliseconds start_time{250};


bool is_ready(const member& m)
{
    return m.record_.state_ == member_state::alive &&
           m.record_.status_.entry_mode_ != membership::entry_mode::draining;
}


void sort_by_start(std::vector<stopping_daemon>& stops)
{
    std::sort(stops.begin(), stops.end(), [](const auto& a, const auto& b) {
        return a.since_ < b.since_;
    });
    for (auto first = stops.begin(); first != stops.end();) {
        const auto end = std::find_if(first, stops.end(), [&](const auto& s) {
            return s.since_ - first->since_ > same_time;
        });
        std::sort(first, end, [](const auto& a, const auto& b) {
            return a.daemon_ < b.daemon_;
        });
        first = end;
    }
}

} // namespace

std::chrono::milliseconds
directory_ttl(bool covering, std::chrono::milliseconds configured)
{
    return covering ? std::min(configured, covering_ttl) : configured;
}


std::set<base::daemon_id> covering_daemons(
    const membership::member_table& members,
    const std::optional<stopping_daemon>& self,
    base::time_point now)
{
    std::vector<stopping_daemon> stops;
    std::size_t ended = 0;
    if (self)
        stops.push_back(*self);
    for (const auto& [id, m] : members) {
        if (is_ready(m))
            return {};
        if (m.record_.state_ == member_state::leaving)
            stops.push_back({id, m.state_changed_at_});
        else if (now - m.state_changed_at_ < restart_allowance)
            ++ended;
    }
    sort_by_start(stops);
    const std::size_t covering =
        std::min(stops.size(), (stops.size() + ended) / 2);
    std::set<base::daemon_id> result;
    for (auto s = stops.end() - std::ptrdiff_t(covering); s != stops.end(); ++s)
        result.insert(s->daemon_);
    return result;
}


base::time_point next_ready(
    const membership::member_table& members,
    const stopping_daemon& self,
    std::chrono::milliseconds stop_time,
    base::time_point now)
{
    const auto ready_after_stop = [&](base::time_point since) {
        return std::max(since + stop_time, now) + restart_time;
    };
    const std::set<base::daemon_id> covering =
        covering_daemons(members, self, now);
    base::time_point result = covering.contains(self.daemon_)
                                  ? base::time_point::max()
                                  : ready_after_stop(self.since_);
    for (const auto& [id, m] : members) {
        const base::time_point changed_at = m.state_changed_at_;
        switch (m.record_.state_) {
        case member_state::alive:
            result = std::min(result, is_ready(m) ? now : now + start_time);
            break;
        case member_state::leaving:
            if (!covering.contains(id))
                result = std::min(result, ready_after_stop(changed_at));
            break;
        case member_state::dead:
            if (now - changed_at < restart_allowance)
                result = std::min(
                    result,
                    std::max(changed_at + restart_time, now + start_time));
            break;
        case member_state::suspect:
            break;
        }
    }
    return std::min(result, now + stop_time + restart_time);
}

} // namespace monsoondock::entry::pvt
