#pragma once

#include "send_state.hpp"

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::relay::pvt {

/// What a check of a connection has found about its other end.
enum class send_finding
{
    /// It reads, or has read all.
    reads,
    /// It has read nothing for longer than the limit.
    stalled,
    /// It has not acknowledged bytes that were sent repeatedly, so its host or
    /// the link to it has failed.
    unreachable
};


/// Returns the name of a finding as it appears in logs.
const char* to_string(send_finding finding) noexcept;


/// Time after which an end that acknowledges nothing that is sent to it counts
/// as unreachable.
inline constexpr std::chrono::milliseconds max_answer_time{3000};


/// Progress of the bytes sent on a connection. It replaces TCP_USER_TIMEOUT,
/// with which the kernel ends the connection of a reader that has left too
/// little room for a whole segment, although it reads.
struct send_monitor
{
    std::uint64_t acknowledged_bytes_ = 0;
    /// When bytes were acknowledged for the last time, or none were pending.
    base::time_point progress_at_;
    /// When the connection was last checked.
    base::time_point checked_at_;
};


/// Period at which connections are checked.
inline constexpr std::chrono::milliseconds send_check_period{500};


/// A connection that has not been checked for longer is taken for one that has
/// just made progress.
inline constexpr std::chrono::milliseconds max_check_gap{1500};


/// Records the state of a connection and returns what it says. A reader that
/// makes no progress for the limit is stalled.
send_finding check_sending(
    send_monitor& m,
    const send_state& s,
    std::chrono::milliseconds limit,
    base::time_point now);

} // namespace monsoondock::relay::pvt
