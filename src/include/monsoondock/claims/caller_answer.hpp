#pragma once

#include <monsoondock/claims/kept_outcome.hpp>
#include <monsoondock/claims/run_state.hpp>

#include <chrono>
#include <string>
#include <variant>

namespace monsoondock::claims {

/// Answer of the upstream to this attempt.
struct fresh_answer
{
    upstream_response response_;
    /// True when the outcome is known to be stored for replay to retries.
    bool kept_ = false;
};


/// Stored answer of an earlier attempt at the same call.
struct replayed_answer
{
    upstream_response response_;
};


/// Reason for which an attempt is refused.
enum class refusal_reason
{
    /// The claim could not be confirmed in the store.
    store_unavailable,
    /// Another attempt with the same key is in progress.
    in_progress,
    /// The call may have run and its outcome is not known.
    outcome_unknown,
    /// The key was used for a request with another fingerprint.
    different_request,
    /// No upstream was reached, or the deadline passed before the dispatch; the
    /// claim is being released.
    not_dispatched,
    /// The claim found in the store can't be decoded.
    record_unreadable
};


/// Answer to an attempt that has no response of the upstream.
struct refusal
{
    refusal_reason reason_ = refusal_reason::store_unavailable;
    /// Whether this attempt may have run.
    execution_status run_ = execution_status::unknown;
    /// Whether any attempt with the same key, including this one, may have run.
    execution_status key_run_ = execution_status::unknown;
    /// Delay before a retry; zero when a retry would get the same refusal.
    std::chrono::milliseconds retry_after_{0};
};

/// Answer to the caller of an attempt.
using caller_answer = std::variant<fresh_answer, replayed_answer, refusal>;


/// Returns the HTTP status of a refusal.
unsigned http_status(refusal_reason reason) noexcept;


/// Returns the last part of the problem type of a refusal.
const char* to_string(refusal_reason reason) noexcept;


/// Returns a message for the caller that states what happened and what to do.
std::string describe(const refusal& r);

} // namespace monsoondock::claims
