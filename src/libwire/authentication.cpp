#include "authentication.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <string>

namespace monsoondock::wire::pvt {

namespace {

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::optional<mac> authenticate(
    std::string_view secret,
    std::string_view message,
    std::string_view audience)
{
    std::string covered(message);
    covered += audience;
    // The length tells where the message ends and the audience begins.
    covered += static_cast<char>(audience.size());
    std::array<unsigned char, EVP_MAX_MD_SIZE> full{};
    unsigned int size = 0;
    const unsigned char* const made = HMAC(
        EVP_sha256(),
        secret.data(),
        static_cast<int>(secret.size()),
        bytes_of(covered),
        covered.size(),
        full.data(),
        &size);
    if (made == nullptr || size < MAC_BYTES)
        return std::nullopt;
    mac code{};
    std::copy_n(full.begin(), MAC_BYTES, code.begin());
    return code;
}


bool same(const mac& computed, std::string_view received)
{
    return received.size() == computed.size() &&
           CRYPTO_memcmp(computed.data(), received.data(), MAC_BYTES) == 0;
}

} // namespace monsoondock::wire::pvt
