#pragma once

#include <monsoondock/membership/incarnation.hpp>
#include <monsoondock/membership/member_state.hpp>

#include <optional>

namespace monsoondock::membership::pvt {

/// State and incarnation of one member, held or claimed.
struct member_claim
{
    member_state state_ = member_state::alive;
    incarnation incarnation_;
};


/// Returns the state that follows when claim is heard about a member held as
/// held, or nothing when the claim is outdated or tells nothing new. A claim
/// that an alive member is dead makes it suspect, so that it can refute.
std::optional<member_state>
after_claim(const member_claim& held, const member_claim& claim);


/// Returns the state that follows when a member answers neither a direct nor
/// an indirect probe, or nothing when that changes nothing.
std::optional<member_state> after_failed_probe(member_state held);


/// Returns the state that follows when a suspicion runs out, or nothing when
/// the member is not suspect.
std::optional<member_state> after_suspicion_timeout(member_state held);

} // namespace monsoondock::membership::pvt
