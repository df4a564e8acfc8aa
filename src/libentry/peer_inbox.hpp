#pragma once

#include "message_priority.hpp"

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/membership/endpoint.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace monsoondock::entry::pvt {

/// Number of messages of each priority that are kept.
inline constexpr std::size_t max_kept_messages = 512;


/// Evidence that has waited for longer is not worth handling: what it says of a
/// host may have changed since.
inline constexpr std::chrono::milliseconds max_evidence_age{400};


/// Datagram of another daemon.
struct received_datagram
{
    std::string bytes_;
    membership::endpoint sender_;
    base::time_point received_at_;
};


/// Messages of other daemons that have been received and not handled yet. A
/// daemon that receives more than it has processor time for handles those of
/// higher priority, and drops the oldest of the others.
class peer_inbox
{
public:
    /// Adds a message; drops the oldest of its priority if too many wait.
    void push(received_datagram d);


    /// Removes and returns the next message; nothing when none is left. Drops
    /// evidence that is too old.
    std::optional<received_datagram> pop(base::time_point now);


    bool empty() const noexcept;


    /// Returns the number of messages that have been dropped.
    std::uint64_t dropped(message_priority p) const;

private:
    struct queue
    {
        std::deque<received_datagram> waiting_;
        std::uint64_t dropped_ = 0;
    };

    queue& queue_of(message_priority p);

    std::array<queue, message_priorities> queues_;
};

} // namespace monsoondock::entry::pvt
