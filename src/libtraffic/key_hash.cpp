#include "key_hash.hpp"

#include <openssl/evp.h>

#include <array>

namespace monsoondock::traffic::pvt {

std::string key_hash(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(
        key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr);
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (unsigned int i = 0; i < size; ++i) {
        text += digits[digest.at(i) >> 4U];
        text += digits[digest.at(i) & 15U];
    }
    return text;
}

} // namespace monsoondock::traffic::pvt
