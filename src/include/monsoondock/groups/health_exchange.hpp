#pragma once

#include <monsoondock/groups/evidence_table.hpp>
#include <monsoondock/groups/group_timing.hpp>
#include <monsoondock/groups/group_view.hpp>
#include <monsoondock/groups/health_messages.hpp>

#include <map>
#include <optional>
#include <vector>

namespace monsoondock::groups {

/// Matches the replies of peers to the health requests of one daemon.
class health_exchange
{
public:
    /// Returns the request to send to peer at now and records it as pending. It
    /// replaces a pending request to the same peer.
    health_request start_request(
        const base::daemon_id& peer,
        std::vector<std::uint64_t> groups,
        base::time_point now);


    /// Matches a reply with the pending request. Returns the time at which that
    /// request was sent, or nothing for a late, duplicate or forged reply.
    std::optional<base::time_point>
    accept(const base::daemon_id& peer, const health_reply& reply);


    /// Returns the number of consecutive requests that got no reply before the
    /// next one was sent.
    std::size_t unanswered(const base::daemon_id& peer) const;

private:
    struct pending_request
    {
        std::optional<base::time_point> sent_at_;
        std::size_t unanswered_ = 0;
    };

    std::map<base::daemon_id, pending_request> peers_;
};


/// Returns the health of one group at now. Members without evidence younger
/// than lease are reported as missing.
group_health make_group_health(
    const group_view& group,
    const evidence_table& evidence,
    base::time_point now,
    std::chrono::milliseconds lease);


/// Records the evidence that a peer's reply gives about group. The reply
/// answers a request sent at sent_at. An entry for another group or generation
/// is ignored.
void apply_group_health(
    evidence_table& evidence,
    const group_view& group,
    const group_health& entry,
    base::time_point sent_at);

} // namespace monsoondock::groups
