#include <monsoondock/base/stable_digest.hpp>
#include <monsoondock/claims/call_key.hpp>

namespace monsoondock::claims {

std::string claim_object_key(const call_key& key)
{
    const std::string digest = base::stable_digest(
        {key.workspace_.value_, key.service_.value_, key.key_.value_});
    return std::string(CLAIM_PREFIX) + digest;
}

} // namespace monsoondock::claims
