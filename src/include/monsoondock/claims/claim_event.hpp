#pragma once

#include <monsoondock/claims/claim_assessment.hpp>
#include <monsoondock/claims/claim_command.hpp>
#include <monsoondock/claims/retry_decision.hpp>
#include <monsoondock/platform/write_outcome.hpp>

#include <optional>
#include <variant>

namespace monsoondock::claims {

/// Outcome of create_claim, update_claim or release_claim.
struct write_answered
{
    store_call_id id_;
    platform::write_outcome outcome_;
};


/// Answer of the store to read_claim.
struct read_answered
{
    store_call_id id_;
    std::optional<platform::object> object_;
    /// Status of the owner that find_owner returns for object_.
    owner_status owner_ = owner_status::unknown;
};


/// The store did not answer read_claim.
struct read_failed
{
    store_call_id id_;
};


/// The exchange started by send_to_upstream has ended.
struct exchange_ended
{
    run_state state_ = run_state::maybe_sent;
    /// Meaningful when state_ is answered.
    upstream_response response_;
    /// Retry delay for the caller when the call was not dispatched.
    std::chrono::milliseconds retry_after_{0};
};


/// The time requested by wake_at has been reached.
struct tick
{};

/// Event passed to an attempt. A late, duplicate or unexpected event has no
/// effect.
using claim_event = std::
    variant<write_answered, read_answered, read_failed, exchange_ended, tick>;

} // namespace monsoondock::claims
