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
    // Without the length of the audience, bytes could be moved between message
    // and audience without changing the code.
    covered += static_cast<char>(audience.size());
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int digest_size = 0;
    const unsigned char* const result = HMAC(
        EVP_sha256(),
        secret.data(),
        static_cast<int>(secret.size()),
        bytes_of(covered),
        covered.size(),
        digest.data(),
        &digest_size);
    if (result == nullptr || digest_size < MAC_BYTES)
        return std::nullopt;
    mac code{};
    std::copy_n(digest.begin(), MAC_BYTES, code.begin());
    return code;
}


bool equal_in_constant_time(const mac& computed, std::string_view received)
{
    return received.size() == computed.size() &&
           CRYPTO_memcmp(computed.data(), received.data(), MAC_BYTES) == 0;
}

} // namespace monsoondock::wire::pvt
