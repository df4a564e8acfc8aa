#pragma once

#include <monsoondock/claims/call.hpp>
#include <monsoondock/claims/caller_answer.hpp>
#include <monsoondock/platform/object.hpp>

#include <optional>
#include <variant>

namespace monsoondock::claims {

/// What the asking daemon knows of the attempt that holds a claim.
enum class owner_status
{
    /// The owner lives in the incarnation of the claim.
    working,
    /// The owner has ended or restarted, or nothing is known of it.
    unknown
};


/// The claim belongs to the asking attempt.
struct own_claim
{
    platform::version version_;
    claim_phase phase_ = claim_phase::claimed;
};


/// The claim belongs to another attempt; the caller gets this answer.
struct foreign_claim
{
    caller_answer answer_;
};

/// What a claim in the store means for one attempt.
using judgement = std::variant<own_claim, foreign_claim>;


/// Judges the claim found at the key of c. Never gives leave to run unless
/// the token is that of c. A claim that can't be read counts as foreign with
/// an unknown outcome.
judgement judge(
    const platform::object& found,
    const call& c,
    owner_status owner,
    const claim_timing& timing,
    wall_time now);


/// Returns the owner named in a claim, or nothing when it can't be read.
std::optional<claim_owner> find_owner(const platform::object& found);

} // namespace monsoondock::claims
