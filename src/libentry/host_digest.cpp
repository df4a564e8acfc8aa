#include "host_digest.hpp"

#include <monsoondock/base/stable_hash.hpp>

#include <charconv>
#include <cstdio>

namespace monsoondock::entry::pvt {

namespace {

constexpr std::size_t digits = 16;

} // namespace

std::size_t part_of(const base::host_id& id)
{
    return base::stable_hash(id.value_) % digest_parts;
}


host_digest digest_of(const host_entries& entries)
{
    host_digest digest{};
    for (const auto& [id, entry] : entries)
        digest[part_of(id)] ^=
            base::stable_hash(id.value_, entry.version_.value_);
    return digest;
}


std::string to_text(const host_digest& digest)
{
    std::string text;
    text.reserve(digest.size() * digits);
    for (const std::uint64_t sum : digest) {
        std::array<char, digits + 1> part{};
        std::snprintf(
            part.data(),
            part.size(),
            "%016llx",
            static_cast<unsigned long long>(sum));
        text.append(part.data(), digits);
    }
    return text;
}


std::optional<host_digest> parse_digest(std::string_view text)
{
    if (text.size() != digest_parts * digits)
        return std::nullopt;
    host_digest digest{};
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const char* begin = text.data() + i * digits;
        const auto [end, failure] =
            std::from_chars(begin, begin + digits, digest[i], 16);
        if (failure != std::errc{} || end != begin + digits)
            return std::nullopt;
    }
    return digest;
}

} // namespace monsoondock::entry::pvt
