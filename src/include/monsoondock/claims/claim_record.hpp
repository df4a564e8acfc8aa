#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>
#include <monsoondock/claims/call_key.hpp>
#include <monsoondock/claims/kept_outcome.hpp>
#include <monsoondock/claims/moment.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::claims {

/// Unique to one attempt at one call; never used twice.
using attempt_token = base::identifier<struct attempt_token_tag>;

/// Digest of the method, target and body of a request.
using request_fingerprint = base::identifier<struct request_fingerprint_tag>;


/// One life of a daemon: a restart has a higher incarnation.
struct claim_owner
{
    base::daemon_id daemon_;
    std::uint64_t incarnation_ = 0;

    friend bool operator==(const claim_owner&, const claim_owner&) = default;
};


/// Phase of a claim in the store.
enum class claim_phase
{
    /// The owner may send the call, or has sent it.
    claimed,
    /// The upstream answered; the outcome is kept.
    finished,
    /// The call may have run and its answer will never be known.
    indeterminate
};


/// The claim of a call as the store holds it.
struct claim_record
{
    call_key call_;
    attempt_token token_;
    request_fingerprint fingerprint_;
    claim_owner owner_;
    claim_phase phase_ = claim_phase::claimed;
    wall_time claimed_at_;
    /// When the owner has given up waiting for the upstream at the latest.
    wall_time expected_end_;
    /// Present exactly when phase_ is finished.
    std::optional<kept_outcome> outcome_;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};


/// Returns the JSON text of a record.
std::string encode(const claim_record& record);


/// Reads a record back. Problem code corrupt: the text is not a claim.
base::result<claim_record> decode_claim(std::string_view text);


/// Returns the fingerprint of a request.
request_fingerprint fingerprint_request(
    std::string_view method, std::string_view target, std::string_view body);

} // namespace monsoondock::claims
