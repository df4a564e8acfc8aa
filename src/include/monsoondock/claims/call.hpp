#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/claims/claim_record.hpp>

#include <chrono>

namespace monsoondock::claims {

/// One attempt at a call that may run at most once.
struct call
{
    call_key key_;
    request_fingerprint fingerprint_;
    attempt_token token_;
    claim_owner owner_;
    /// The attempt is not dispatched after this.
    base::time_point deadline_;
    /// Longest time that the upstream is given to answer.
    std::chrono::milliseconds exchange_timeout_{0};
    /// Largest answer body that is kept for repeats, in bytes.
    std::size_t kept_body_bytes_ = MAX_KEPT_BODY_BYTES;
};


/// Waits of the claim protocol.
struct claim_timing
{
    /// Creates that are tried before the attempt is refused.
    int create_tries_ = 3;
    /// Longest time that a caller waits for the write of its outcome.
    std::chrono::milliseconds outcome_wait_{250};
    /// First and longest pause before a background write is tried again.
    std::chrono::milliseconds first_pause_{200};
    std::chrono::milliseconds longest_pause_{30000};
    /// Reads that look for a create that may still be on its way.
    int late_create_checks_ = 6;
    /// What a caller is told when the store does not answer.
    std::chrono::milliseconds store_retry_after_{2000};
    /// Longest time after which a repeat of a running call is told to return.
    std::chrono::milliseconds progress_retry_after_{1000};
};

} // namespace monsoondock::claims
