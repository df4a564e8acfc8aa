#pragma once

#include <cstdint>

namespace monsoondock::membership {

/// State of a member in the view of one node. Among claims with equal
/// incarnations, only one of a later state in this order takes effect.
enum class member_state : std::uint8_t
{
    /// Answers probes.
    alive,
    /// Did not answer a probe and has not yet refuted the suspicion.
    suspect,
    /// Announced a graceful shutdown; still answers probes but accepts no new
    /// callers.
    leaving,
    /// Did not refute a suspicion in time, did not answer a probe while
    /// leaving, or announced its exit.
    dead
};


/// Returns the name of a state as it appears in logs and JSON.
const char* to_string(member_state state) noexcept;

} // namespace monsoondock::membership
