#pragma once

#include "host_log.hpp"

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

/// Bytes of the membership protocol.
struct membership_message
{
    std::string body_;
};


/// The sender leads placement and reaches the platform.
struct leader_beat
{
    base::daemon_id leader_;
    std::uint64_t term_ = 0;
    /// Time since the leader last heard the store.
    std::chrono::milliseconds store_silence_{0};
    /// How far the leader has taken changes of hosts.
    feed_position position_;
};


/// The sender doubts an upstream.
struct doubt_message
{
    base::host_id host_;
    /// Address of the host that keeps it from serving, when it named one.
    std::string failed_address_;
};


/// The sender has not heard of an upstream for a while: does anybody?
struct question_message
{
    base::host_id host_;
};


/// The sender, who leads, can't reach a host: can anybody?
struct reach_question
{
    base::host_id host_;
    /// "ip:port".
    std::string address_;
};


/// The sender reached a host that the leader can't reach.
struct reached_message
{
    base::host_id host_;
};


/// The sender, who leads, has taken changes of hosts.
struct feed_message
{
    std::uint64_t term_ = 0;
    feed_position position_;
    /// The last changes up to the position; empty when they are too many.
    std::vector<platform::change> changes_;
};


/// The sender, who leads, found that watches miss changes of hosts.
struct read_again_message
{};


/// The sender, who leads, found a host to accept no connection.
struct lost_host_message
{
    base::host_id host_;
};


/// Work that callers asked the sender for, over some time.
struct work_message
{
    base::daemon_id sender_;
    relay::demand_table work_;
    std::chrono::milliseconds time_{0};
};


/// An upstream that is doubted or asked for answers the sender.
struct trust_message
{
    base::host_id host_;
};


/// The sender's requests in progress by upstream.
struct loads_message
{
    base::daemon_id sender_;
    std::unordered_map<base::host_id, unsigned> loads_;
};


/// An upstream fell while it had a request, or the request was answered.
struct crash_message
{
    relay::crash_report report_;
};

/// Everything that daemons tell each other by datagram.
using peer_message = std::variant<
    membership_message,
    leader_beat,
    doubt_message,
    trust_message,
    loads_message,
    crash_message,
    question_message,
    work_message,
    lost_host_message,
    reach_question,
    reached_message,
    read_again_message,
    feed_message>;


/// Returns the bytes of a datagram.
std::string encode(const peer_message& m);


/// Reads a datagram. Returns nothing when it has another form.
std::optional<peer_message> decode(const std::string& bytes);

} // namespace monsoondock::entry::pvt
