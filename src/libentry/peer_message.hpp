#pragma once

#include "evacuations.hpp"
#include "host_change_log.hpp"
#include "host_pace_message.hpp"
#include "load_exchange.hpp"
#include "message_priority.hpp"

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/paths/host_check.hpp>
#include <monsoondock/relay/proxy_callbacks.hpp>
#include <monsoondock/wire/body_codec.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace monsoondock::entry::pvt {

/// Datagram body of the membership protocol.
struct membership_message
{
    std::string body_;
};


/// The leader of placement is alive. Sent by the leader, and by relays on its
/// behalf.
struct leader_heartbeat
{
    /// Empty when the leader is stopping.
    base::daemon_id leader_;
    std::uint64_t term_ = 0;
    /// Time since the leader last received a response from the store.
    std::chrono::milliseconds store_contact_age_{0};
    /// End of the sender's log of host changes, which the receiver may follow.
    host_log_position position_;
    /// True when the receiver is to relay heartbeats and host changes in its
    /// data centre.
    bool relay_ = false;
};


/// The sender suspects that an upstream has failed.
struct upstream_suspected_message
{
    base::host_id host_;
    /// "ip:port" of the host that the upstream reported as the cause; empty
    /// when it reported none.
    std::string failed_address_;
};


/// The sender has received nothing from an upstream for a while. A peer that
/// does receives this and responds with upstream_healthy_message.
struct upstream_query_message
{
    base::host_id host_;
};


/// The leader, or a relay of the leader, has applied host changes.
struct host_changes_message
{
    std::uint64_t term_ = 0;
    host_log_position position_;
    /// The latest changes up to the position; empty when they don't fit a
    /// datagram, so that followers have to fetch them.
    std::vector<platform::change> changes_;
};


/// The leader found that a watch missed host changes; receivers that watch the
/// store list the hosts again.
struct relist_hosts_message
{};


/// The leader found that a host does not accept connections.
struct host_unreachable_message
{
    base::host_id host_;
};


/// A host said in a response to the sender that it is leaving.
struct host_leaving_message
{
    base::host_id host_;
    /// Process that is leaving; see fleet::host_info.
    std::int64_t process_start_ms_ = 0;
};


/// Demand of the sender's callers over an interval.
struct demand_message
{
    base::daemon_id sender_;
    relay::demand_table demand_;
    std::chrono::milliseconds interval_{0};
};


/// The sender receives responses from an upstream that a peer suspects or asked
/// about.
struct upstream_healthy_message
{
    base::host_id host_;
};


/// The sender's requests in progress, by upstream. Sent to all peers in a small
/// cluster, and otherwise to the relay of the sender's data centre.
struct load_message
{
    base::daemon_id sender_;
    load_table loads_;
};


/// Requests in progress of all daemons of a data centre; sent by its relay to
/// the relays of the other data centres.
struct data_centre_load_message
{
    base::data_centre_id data_centre_;
    load_table loads_;
};


/// Requests in progress of all daemons; sent by a relay to the daemons of its
/// data centre.
struct load_sum_message
{
    /// Those of the data centre, the receiver's own included.
    load_table own_data_centre_;
    load_table other_data_centres_;
};


/// A message that the receiver is to handle and to send on to the other daemons
/// of its data centre.
struct forwarded_message
{
    /// The encoded message.
    std::string body_;
};


/// An upstream crashed while it ran a request, or a request that had been
/// reported so was answered completely.
struct crash_message
{
    relay::crash_report report_;
};


/// What the sender knows about parts of prompts under which upstreams crash.
struct part_report_message
{
    crashes::part_report report_;
};


/// What the sender knows of limits that upstreams have named.
struct host_limits_message
{
    std::vector<relay::host_limit_report> limits_;
};

/// The sender cannot connect to a host and asks whether the receiver can.
struct host_query_message
{
    /// Repeated in the answer.
    std::uint64_t number_ = 0;
    base::host_id host_;
};


struct host_finding_message
{
    std::uint64_t number_ = 0;
    paths::peer_finding finding_ = paths::peer_finding::unknown;
};


/// The sender asks the leader to check the hosts of the group that a host
/// belongs to.
struct group_check_message
{
    base::host_id head_;
};


/// Evacuations that the sender knows.
struct evacuations_message
{
    evacuation_set set_;
};


/// Messages that daemons send each other as datagrams. The index of an
/// alternative is its type code on the wire, so the order must not change.
using peer_message = std::variant<
    membership_message,
    leader_heartbeat,
    upstream_suspected_message,
    upstream_healthy_message,
    load_message,
    crash_message,
    upstream_query_message,
    demand_message,
    host_unreachable_message,
    host_leaving_message,
    relist_hosts_message,
    host_changes_message,
    data_centre_load_message,
    load_sum_message,
    forwarded_message,
    part_report_message,
    host_limits_message,
    host_query_message,
    host_finding_message,
    group_check_message,
    evacuations_message,
    host_pace_message>;


/// Returns the kind of a message as it appears in metrics.
std::string_view kind_of(const peer_message& m);


/// Returns the priority of an encoded message, without decoding it; that of the
/// inner one if it is a forwarded message, the lowest if it is malformed.
message_priority priority_of(std::string_view bytes);


/// Returns the datagram for a message.
std::string encode(const peer_message& m);


/// Parses a datagram. Returns nothing when it is malformed.
std::optional<peer_message> decode(const std::string& bytes);

} // namespace monsoondock::entry::pvt
