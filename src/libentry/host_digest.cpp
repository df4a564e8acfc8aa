#include "host_digest.hpp"

#include <monsoondock/base/stable_hash.hpp>

#include <charconv>
#include <cstdio>

namespace monsoondock::entry::pvt {

namespace {

constexpr std::size_t digits_per_bucket = 16;

} // namespace

std::size_t bucket_of(const base::host_id& id)
{
    return base::stable_hash(id.value_) % digest_buckets;
}


host_digest compute_digest(const host_entries& entries)
{
    host_digest digest{};
    for (const auto& [id, entry] : entries)
        digest[bucket_of(id)] ^=
            base::stable_hash(id.value_, base::stable_hash(entry.value_));
    return digest;
}


std::string to_text(const host_digest& digest)
{
    std::string text;
    text.reserve(digest.size() * digits_per_bucket);
    for (const std::uint64_t bucket : digest) {
        std::array<char, digits_per_bucket + 1> hex{};
        std::snprintf(
            hex.data(),
            hex.size(),
            "%016llx",
            static_cast<unsigned long long>(bucket));
        text.append(hex.data(), digits_per_bucket);
    }
    return text;
}


std::optional<host_digest> parse_digest(std::string_view text)
{
    if (text.size() != digest_buckets * digits_per_bucket)
        return std::nullopt;
    host_digest digest{};
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const char* begin = text.data() + i * digits_per_bucket;
        const auto [end, failure] =
            std::from_chars(begin, begin + digits_per_bucket, digest[i], 16);
        if (failure != std::errc{} || end != begin + digits_per_bucket)
            return std::nullopt;
    }
    return digest;
}

} // namespace monsoondock::entry::pvt
