#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/relay/crash_board.hpp>
#include <monsoondock/wire/body_codec.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

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
};


/// The sender doubts an upstream.
struct doubt_message
{
    base::host_id host_;
    /// Host that keeps it from serving, when the upstream named one.
    base::host_id failed_host_;
};


/// An upstream that is doubted answers the sender.
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


/// An upstream fell while it had a request.
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
    crash_message>;


/// Returns the bytes of a datagram.
std::string encode(const peer_message& m);


/// Reads a datagram. Returns nothing when it has another form.
std::optional<peer_message> decode(const std::string& bytes);

} // namespace monsoondock::entry::pvt
