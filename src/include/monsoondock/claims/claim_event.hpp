#pragma once

#include <monsoondock/claims/claim_command.hpp>
#include <monsoondock/claims/judgement.hpp>
#include <monsoondock/claims/retry_decision.hpp>
#include <monsoondock/platform/write_outcome.hpp>

#include <optional>
#include <variant>

namespace monsoondock::claims {

/// Answer to create_claim, update_claim or release_claim.
struct write_answered
{
    store_call_id id_;
    platform::write_outcome outcome_;
};


/// The store answered read_claim.
struct read_answered
{
    store_call_id id_;
    std::optional<platform::object> object_;
    /// Status of the owner that find_owner names in object_.
    owner_status owner_ = owner_status::unknown;
};


/// The store gave no answer to read_claim.
struct read_failed
{
    store_call_id id_;
};


/// The exchange asked for by send_to_upstream is over.
struct exchange_ended
{
    run_state state_ = run_state::maybe_sent;
    /// Meaningful when state_ is answered.
    upstream_response response_;
    /// Told to the caller when the call was not dispatched.
    std::chrono::milliseconds retry_after_{0};
};


/// Time asked for by wake_at has come.
struct tick
{};

/// Everything an attempt is told. An event that is late, doubled or not
/// awaited changes nothing.
using claim_event = std::
    variant<write_answered, read_answered, read_failed, exchange_ended, tick>;

} // namespace monsoondock::claims
