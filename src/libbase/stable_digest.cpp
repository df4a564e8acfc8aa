#include <monsoondock/base/stable_digest.hpp>
#include <monsoondock/base/stable_hash.hpp>

#include <array>
#include <cstdint>
#include <cstdio>

namespace monsoondock::base {

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
        static_cast<unsigned long long>(stable_hash(joined)),
        static_cast<unsigned long long>(stable_hash(joined, SECOND_HASH_SEED)));
    return text.data();
}

} // namespace monsoondock::base
