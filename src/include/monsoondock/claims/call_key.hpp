#pragma once

#include <monsoondock/base/identifier.hpp>

#include <string>
#include <string_view>

namespace monsoondock::claims {

/// Idempotency key that the caller chose for a call (header Idempotency-Key).
using idempotency_key = base::identifier<struct idempotency_key_tag>;


/// Identifies one call that may run at most once.
struct call_key
{
    base::workspace_id workspace_;
    base::deployment_id service_;
    idempotency_key key_;

    friend bool operator==(const call_key&, const call_key&) = default;
};

/// Prefix of the object keys of all claims in the store.
inline constexpr std::string_view CLAIM_PREFIX = "claims/";


/// Returns the key of the store object that holds the claim of the call: the
/// prefix and a digest of the three parts.
std::string claim_object_key(const call_key& key);

} // namespace monsoondock::claims
