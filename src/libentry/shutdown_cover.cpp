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

} // namespace monsoondock::entry::pvt
