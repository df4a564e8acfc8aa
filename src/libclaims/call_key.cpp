#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/claims/call_key.hpp>

#include <array>
#include <cstdint>
#include <cstdio>

namespace monsoondock::claims {

namespace {

constexpr std::uint64_t SECOND_HASH_SEED = 0x9e3779b97f4a7c15;


std::string join_with_lengths(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    for (const std::string_view part : parts) {
        joined += std::to_string(part.size());
        joined += ':';
        joined += part;
    }
    return joined;
}

} // namespace


std::string stable_digest(std::initializer_list<std::string_view> parts)
{
    const std::string joined = join_with_lengths(parts);
    std::array<char, 33> text{};
    std::snprintf(
        text.data(),
        text.size(),
        "%016llx%016llx",
        static_cast<unsigned long long>(base::stable_hash(joined)),
        static_cast<unsigned long long>(
            base::stable_hash(joined, SECOND_HASH_SEED)));
    return text.data();
}


std::string claim_object_key(const call_key& key)
{
    const std::string digest = stable_digest(
        {key.workspace_.value_, key.service_.value_, key.key_.value_});
    return std::string(CLAIM_PREFIX) + digest;
}

} // namespace monsoondock::claims
