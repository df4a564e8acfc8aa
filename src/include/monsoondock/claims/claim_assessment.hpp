#pragma once

#include <monsoondock/claims/call.hpp>
#include <monsoondock/claims/caller_answer.hpp>
#include <monsoondock/platform/object.hpp>

#include <optional>
#include <variant>

namespace monsoondock::claims {

/// State of the owner of a claim, as far as the reading daemon knows.
enum class owner_status
{
    /// The owner is alive in the incarnation that made the claim.
    working,
    /// The owner has stopped or restarted, or its state is not known.
    unknown
};


/// The claim belongs to the reading attempt.
struct own_claim
{
    platform::version version_;
    claim_phase phase_ = claim_phase::claimed;
};


/// The claim belongs to another attempt. The caller gets answer_.
struct foreign_claim
{
    caller_answer answer_;
};

/// Consequence of a claim found in the store for one attempt.
using claim_assessment = std::variant<own_claim, foreign_claim>;


/// Assesses the claim found at the key of c. Returns own_claim only if the
/// token of the claim is that of c. A claim that can't be decoded counts as
/// foreign with an unknown outcome, so that the call is not sent.
claim_assessment assess_claim(
    const platform::object& found,
    const call& c,
    owner_status owner,
    const claim_timing& timing,
    wall_time now);


/// Returns the owner recorded in a claim, or nothing when the claim can't be
/// decoded.
std::optional<claim_owner> find_owner(const platform::object& found);

} // namespace monsoondock::claims
