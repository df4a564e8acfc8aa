#pragma once

#include <monsoondock/wire/limits.hpp>

#include <array>
#include <optional>
#include <string_view>

namespace monsoondock::wire::pvt {

/// Message authentication code.
using mac = std::array<char, MAC_BYTES>;


/// Returns HMAC-SHA-256 over message and audience, truncated to MAC_BYTES, or
/// nothing if OpenSSL fails. The audience must be shorter than 256 bytes.
std::optional<mac> authenticate(
    std::string_view secret,
    std::string_view message,
    std::string_view audience);


/// Compares in constant time, so that timing reveals nothing about the
/// expected code.
bool equal_in_constant_time(const mac& computed, std::string_view received);

} // namespace monsoondock::wire::pvt
