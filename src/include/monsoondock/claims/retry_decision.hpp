#pragma once

#include <monsoondock/claims/run_state.hpp>

namespace monsoondock::claims {

/// Why an exchange with an upstream did not give its answer to the caller.
enum class failure
{
    /// No upstream could be chosen.
    no_upstream,
    /// The connection could not be opened.
    connect_failed,
    /// The connection ended before the answer was complete.
    connection_lost,
    /// The upstream gave no answer in its time.
    timeout,
    /// The answer broke the protocol or its stated length.
    malformed_answer,
    /// The upstream's protocol states that it has not started the request.
    refused_before_run,
    /// The caller went away.
    caller_left,
    /// The caller's deadline passed.
    deadline_passed,
    /// The store could not confirm the claim.
    store_unavailable
};

/// Number of values of failure.
inline constexpr int FAILURE_COUNT = 9;

/// Whether a request may reach an upstream more than once.
enum class repeatability
{
    idempotent,
    at_most_once
};


/// What follows from a failed exchange.
struct retry_decision
{
    /// What the refusal tells the caller when there is no retry.
    execution_status run_ = execution_status::unknown;
    /// True when the request may be sent to an upstream again.
    bool may_retry_ = false;

    friend bool
    operator==(const retry_decision&, const retry_decision&) = default;
};


/// Returns true when another upstream may do better after f.
constexpr bool concerns_upstream(failure f) noexcept
{
    switch (f) {
    case failure::connect_failed:
    case failure::connection_lost:
    case failure::timeout:
    case failure::malformed_answer:
    case failure::refused_before_run:
        return true;
    case failure::no_upstream:
    case failure::caller_left:
    case failure::deadline_passed:
    case failure::store_unavailable:
        return false;
    }
    return false;
}


/// Decides for every failed exchange what the caller is told and whether the
/// request may be sent again. A request that runs at most once is never sent
/// again after its first byte may have left. An idempotent one that an
/// upstream refused in its own protocol counts as not run.
constexpr retry_decision
decide_retry(run_state state, failure f, repeatability r) noexcept
{
    const bool upstream_fault = concerns_upstream(f);
    if (state == run_state::unsent)
        return {execution_status::not_run, upstream_fault};
    if (r == repeatability::at_most_once)
        return {execution_status::unknown, false};
    if (state == run_state::answered && f == failure::refused_before_run)
        return {execution_status::not_run, true};
    return {execution_status::unknown, upstream_fault};
}

} // namespace monsoondock::claims
