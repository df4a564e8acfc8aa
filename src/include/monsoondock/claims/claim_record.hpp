#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>
#include <monsoondock/claims/call_key.hpp>
#include <monsoondock/claims/clock_reading.hpp>
#include <monsoondock/claims/kept_outcome.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::claims {

/// Identifies one attempt at one call; never reused.
using attempt_token = base::identifier<struct attempt_token_tag>;

/// Digest of the method, target and body of a request.
using request_fingerprint = base::identifier<struct request_fingerprint_tag>;


/// One run of a daemon process: each restart has a higher incarnation.
struct claim_owner
{
    base::daemon_id daemon_;
    std::uint64_t incarnation_ = 0;

    friend bool operator==(const claim_owner&, const claim_owner&) = default;
};


/// Phase of a claim as recorded in the store.
enum class claim_phase
{
    /// The owner may send the call or has sent it.
    claimed,
    /// The upstream has answered and the outcome is stored.
    finished,
    /// The call may have run, and its answer can no longer be obtained.
    indeterminate
};


/// Record by which one attempt claims a call in the store, so that no other
/// attempt sends the call.
struct claim_record
{
    call_key call_;
    attempt_token token_;
    request_fingerprint fingerprint_;
    claim_owner owner_;
    claim_phase phase_ = claim_phase::claimed;
    wall_time claimed_at_;
    /// Latest time at which the owner stops waiting for the upstream.
    wall_time expected_end_;
    /// Set if and only if phase_ is finished.
    std::optional<kept_outcome> outcome_;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};


/// Returns the record as JSON text.
std::string encode(const claim_record& record);


/// Parses a record from JSON text. Fails with problem code corrupt when the
/// text is not a valid claim.
base::result<claim_record> decode_claim(std::string_view text);


/// Returns the digest by which a retry is checked to be the same request.
request_fingerprint fingerprint_request(
    std::string_view method, std::string_view target, std::string_view body);

} // namespace monsoondock::claims
