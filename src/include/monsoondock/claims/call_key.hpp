#pragma once

#include <monsoondock/base/identifier.hpp>

#include <initializer_list>
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


/// Returns 32 hexadecimal digits that are the same on every host. Parts are
/// told apart, so moving a byte between neighbours changes the digest.
std::string stable_digest(std::initializer_list<std::string_view> parts);


/// Returns the key of the store object that holds the claim of the call.
std::string claim_object_key(const call_key& key);

} // namespace monsoondock::claims
