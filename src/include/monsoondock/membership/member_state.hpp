#pragma once

#include <cstdint>

namespace monsoondock::membership {

/// State of a member as one observer holds it.
enum class member_state : std::uint8_t
{
    /// Answers probes.
    alive,
    /// Missed a probe and has not refuted the suspicion yet.
    suspect,
    /// Announced a graceful shutdown; still answers, takes no new callers.
    leaving,
    /// Did not refute a suspicion in time, or announced its exit.
    dead
};


/// Returns the name of a state as it appears in logs and JSON.
const char* to_string(member_state state) noexcept;

} // namespace monsoondock::membership
