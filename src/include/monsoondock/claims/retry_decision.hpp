#pragma once

#include <monsoondock/claims/run_state.hpp>

namespace monsoondock::claims {

/// Reason for which an exchange with an upstream produced no answer for the
/// caller.
enum class exchange_failure
{
    /// No upstream could be chosen.
    no_upstream,
    /// The connection could not be opened.
    connect_failed,
    /// The connection ended before the answer was complete.
    connection_lost,
    /// The upstream did not answer within the timeout.
    timeout,
    /// The answer violated the protocol or its declared length.
    malformed_answer,
    /// The upstream reported by its protocol that it did not start the request.
    refused_before_run,
    /// The caller closed the connection.
    caller_left,
    /// The caller's deadline passed.
    deadline_passed,
    /// The store could not confirm the claim.
    store_unavailable
};

/// Number of enumerators of exchange_failure.
inline constexpr int EXCHANGE_FAILURE_COUNT = 9;

/// Whether a request may be sent to an upstream more than once.
enum class call_semantics
{
    idempotent,
    at_most_once
};


/// Consequence of a failed exchange.
struct retry_decision
{
    /// Execution status in the refusal when there is no retry.
    execution_status run_ = execution_status::unknown;
    /// True when the request may be sent to an upstream again.
    bool may_retry_ = false;

    friend bool
    operator==(const retry_decision&, const retry_decision&) = default;
};


/// Returns true when the request may succeed at another upstream after f.
constexpr bool other_upstream_may_succeed(exchange_failure f) noexcept
{
    switch (f) {
    case exchange_failure::connect_failed:
    case exchange_failure::connection_lost:
    case exchange_failure::timeout:
    case exchange_failure::malformed_answer:
    case exchange_failure::refused_before_run:
        return true;
    case exchange_failure::no_upstream:
    case exchange_failure::caller_left:
    case exchange_failure::deadline_passed:
    case exchange_failure::store_unavailable:
        return false;
    }
    return false;
}


/// Decides after a failed exchange whether the request may be sent again, and
/// which execution status a refusal reports. An at-most-once request is never
/// sent again once its first byte may have left. An idempotent request that an
/// upstream refused by its own protocol counts as not run.
constexpr retry_decision decide_retry(
    run_state state, exchange_failure f, call_semantics semantics) noexcept
{
    const bool upstream_fault = other_upstream_may_succeed(f);
    if (state == run_state::unsent)
        return {execution_status::not_run, upstream_fault};
    if (semantics == call_semantics::at_most_once)
        return {execution_status::unknown, false};
    if (state == run_state::answered &&
        f == exchange_failure::refused_before_run)
        return {execution_status::not_run, true};
    return {execution_status::unknown, upstream_fault};
}

} // namespace monsoondock::claims
