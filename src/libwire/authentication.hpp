#pragma once

#include <monsoondock/wire/limits.hpp>

#include <array>
#include <optional>
#include <string_view>

namespace monsoondock::wire::pvt {

/// Message authentication code.
using mac = std::array<char, MAC_BYTES>;


/// Returns the first bytes of HMAC-SHA-256 over message and audience, or
/// nothing when the library fails. Source: OpenSSL.
std::optional<mac> authenticate(
    std::string_view secret,
    std::string_view message,
    std::string_view audience);


/// Compares in a time that does not depend on the content.
bool same(const mac& computed, std::string_view received);

} // namespace monsoondock::wire::pvt
