#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/wire/channel.hpp>

#include <cstdint>
#include <string>

namespace monsoondock::wire {

/// Authenticated message from one daemon to another: a body with its channel,
/// sender and sequence number.
struct envelope
{
    channel channel_ = channel::membership;
    base::daemon_id sender_;
    /// Incarnation of the sender; it increases with each start of the daemon.
    std::uint64_t incarnation_ = 0;
    /// Sequence number within the channel and the incarnation, from 1.
    std::uint64_t sequence_ = 0;
    std::string body_;
};

} // namespace monsoondock::wire
