#pragma once

#include <monsoondock/claims/kept_outcome.hpp>
#include <monsoondock/claims/run_state.hpp>

#include <chrono>
#include <string>
#include <variant>

namespace monsoondock::claims {

/// Answer of the upstream to this very attempt.
struct fresh_answer
{
    upstream_response response_;
    /// True when the store is known to keep it for repeats.
    bool kept_ = false;
};


/// Kept answer of an earlier attempt at the same call.
struct replayed_answer
{
    upstream_response response_;
};


/// Why a call is refused.
enum class refusal_reason
{
    store_unavailable,
    in_progress,
    outcome_unknown,
    different_request,
    not_dispatched,
    record_unreadable
};


/// Refusal of an attempt.
struct refusal
{
    refusal_reason reason_ = refusal_reason::store_unavailable;
    /// What is known of this attempt.
    execution_status run_ = execution_status::unknown;
    /// What is known of every attempt with the same key, this one included.
    execution_status key_run_ = execution_status::unknown;
    /// When to come back; zero when coming back changes nothing.
    std::chrono::milliseconds retry_after_{0};
};

/// Everything a caller can be told.
using caller_answer = std::variant<fresh_answer, replayed_answer, refusal>;


/// Returns the HTTP status of a refusal.
unsigned http_status(refusal_reason reason) noexcept;


/// Returns the last part of the problem type of a refusal.
const char* to_string(refusal_reason reason) noexcept;


/// Returns one sentence for the caller: what happened and what to do.
std::string describe(const refusal& r);

} // namespace monsoondock::claims
