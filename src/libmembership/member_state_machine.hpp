#pragma once

#include <monsoondock/membership/incarnation.hpp>
#include <monsoondock/membership/member_state.hpp>

#include <optional>

namespace monsoondock::membership::pvt {

/// State and incarnation of one member, either known locally or claimed by a
/// peer.
struct member_claim
{
    member_state state_ = member_state::alive;
    incarnation incarnation_;
};


/// Returns the next state of a member after a claim arrives, or nullopt when
/// the claim is outdated or changes nothing. A claim that an alive member is
/// dead makes it suspect first, so that it can refute.
std::optional<member_state>
after_claim(const member_claim& current, const member_claim& claim);


/// Returns the next state of a member that answered neither a direct nor an
/// indirect probe, or nullopt when the state stays.
std::optional<member_state> after_failed_probe(member_state current);


/// Returns the next state of a member when the suspicion timeout expires, or
/// nullopt when the member is not suspect.
std::optional<member_state> after_suspicion_timeout(member_state current);

} // namespace monsoondock::membership::pvt
