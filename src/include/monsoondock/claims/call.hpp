#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/claims/claim_record.hpp>

#include <chrono>

namespace monsoondock::claims {

/// Parameters of one attempt at a call that may run at most once.
struct call
{
    call_key key_;
    request_fingerprint fingerprint_;
    attempt_token token_;
    claim_owner owner_;
    /// Latest time at which the request may be dispatched.
    base::time_point deadline_;
    /// Longest time for which the attempt waits for the answer of the upstream.
    std::chrono::milliseconds exchange_timeout_{0};
    /// Largest answer body that is stored for replay to retries, in bytes.
    std::size_t kept_body_bytes_ = MAX_KEPT_BODY_BYTES;
};


/// Timeouts, retry limits and backoff of the claim protocol.
struct claim_timing
{
    /// Number of create calls to the store before the attempt is refused.
    int max_creates_ = 3;
    /// Longest time for which the answer to the caller is held back until the
    /// outcome is written to the store.
    std::chrono::milliseconds max_outcome_wait_{250};
    /// First and longest delay before a failed background write is retried; the
    /// delay doubles with each retry.
    std::chrono::milliseconds initial_backoff_{200};
    std::chrono::milliseconds max_backoff_{30000};
    /// Number of reads that look for a claim whose create may still reach the
    /// store after its answer was lost.
    int max_late_create_checks_ = 6;
    /// Retry delay given to the caller when the store does not answer.
    std::chrono::milliseconds store_retry_after_{2000};
    /// Longest retry delay given to a caller that repeats a call in progress.
    std::chrono::milliseconds progress_retry_after_{1000};
};

} // namespace monsoondock::claims
