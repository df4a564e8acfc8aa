#pragma once

#include "host_change_log.hpp"

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/relay/proxy_callbacks.hpp>
#include <monsoondock/wire/body_codec.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace monsoondock::entry::pvt {

/// Datagram body of the membership protocol.
struct membership_message
{
    std::string body_;
};


/// The sender leads placement.
struct leader_heartbeat
{
    /// Empty when the leader is stopping.
    base::daemon_id leader_;
    std::uint64_t term_ = 0;
    /// Time since the leader last received a response from the store.
    std::chrono::milliseconds store_contact_age_{0};
    /// End of the leader's log of host changes.
    host_log_position position_;
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


/// The leader can't connect to a host and requests its peers to try.
struct probe_request_message
{
    base::host_id host_;
    /// "ip:port".
    std::string address_;
};


/// The sender connected to a host that the leader can't reach.
struct probe_success_message
{
    base::host_id host_;
};


/// The leader has applied host changes.
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


/// The sender's requests in progress, by upstream.
struct load_message
{
    base::daemon_id sender_;
    std::unordered_map<base::host_id, unsigned> loads_;
};


/// An upstream crashed while it ran a request, or a request that had been
/// reported so was answered completely.
struct crash_message
{
    relay::crash_report report_;
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
    probe_request_message,
    probe_success_message,
    relist_hosts_message,
    host_changes_message>;


/// Returns the datagram for a message.
std::string encode(const peer_message& m);


/// Parses a datagram. Returns nothing when it is malformed.
std::optional<peer_message> decode(const std::string& bytes);

} // namespace monsoondock::entry::pvt
