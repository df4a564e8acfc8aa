#pragma once

#include <monsoondock/base/identifier.hpp>

#include <string>
#include <string_view>

namespace monsoondock::claims {

/// Idempotency key that the caller gave to a call.
using idempotency_key = base::identifier<struct idempotency_key_tag>;


/// Names one call that may run at most once.
struct call_key
{
    base::workspace_id workspace_;
    base::deployment_id service_;
    idempotency_key key_;

    friend bool operator==(const call_key&, const call_key&) = default;
};

/// Prefix of every claim in the store.
inline constexpr std::string_view CLAIM_PREFIX = "claims/";


/// Returns the key of the store object that holds the claim of the call.
std::string claim_object_key(const call_key& key);

} // namespace monsoondock::claims
