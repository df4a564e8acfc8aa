#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace monsoondock::relay::pvt {

/// What the kernel knows of the bytes sent on a TCP connection.
struct send_state
{
    /// Bytes that the other end has acknowledged since the connection began.
    std::uint64_t acknowledged_bytes_ = 0;
    /// True when bytes passed to the kernel are not acknowledged.
    bool pending_ = false;
    /// True when bytes are sent again for want of an acknowledgement. While the
    /// other end does not read, none are sent but probes, which it answers.
    bool retransmitting_ = false;
    /// Time since the other end sent an acknowledgement.
    std::chrono::milliseconds since_answer_{0};
};


/// Returns the state of a socket; nothing when the system does not tell it.
std::optional<send_state> read_send_state(int socket);

} // namespace monsoondock::relay::pvt
