#include <monsoondock/settings/api_key_hash.hpp>

#include <openssl/sha.h>

#include <array>

namespace monsoondock::settings {

api_key_hash hash_api_key(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(
        reinterpret_cast<const unsigned char*>(key.data()),
        key.size(),
        digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    api_key_hash hash;
    for (const unsigned char byte : digest) {
        hash.value_ += digits[byte >> 4U];
        hash.value_ += digits[byte & 0xFU];
    }
    return hash;
}

} // namespace monsoondock::settings
