#pragma once

#include <monsoondock/groups/evidence_table.hpp>
#include <monsoondock/groups/group_timing.hpp>
#include <monsoondock/groups/group_view.hpp>
#include <monsoondock/groups/health_messages.hpp>

#include <map>
#include <optional>
#include <vector>

namespace monsoondock::groups {

/// Bookkeeping of the verdict requests of one daemon to its peers.
class health_exchange
{
public:
    /// Returns the request to send to peer now and remembers it. A later
    /// request replaces an unanswered one.
    health_request
    ask(const base::daemon_id& peer,
        std::vector<std::uint64_t> groups,
        base::time_point now);


    /// Takes a reply. Returns the time at which the request left, or nothing
    /// when no such request waits: late, doubled or forged replies.
    std::optional<base::time_point>
    accept(const base::daemon_id& peer, const health_reply& reply);


    /// Returns the number of requests in a row without an answer.
    std::size_t unanswered(const base::daemon_id& peer) const;

private:
    struct pending
    {
        std::optional<base::time_point> sent_at_;
        std::size_t unanswered_ = 0;
    };

    std::map<base::daemon_id, pending> peers_;
};


/// Returns the verdict on one group at now; members without evidence younger
/// than lease are missing.
group_health make_group_health(
    const group_view& group,
    const evidence_table& evidence,
    base::time_point now,
    std::chrono::milliseconds lease);


/// Takes a verdict on group that was asked for at asked.
void apply_group_health(
    evidence_table& evidence,
    const group_view& group,
    const group_health& entry,
    base::time_point asked);

} // namespace monsoondock::groups
