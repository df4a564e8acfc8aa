#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace monsoondock::base {

/// Returns a 128-bit digest of parts as 32 hexadecimal digits, computed from
/// two stable_hash values and identical on every host. Each part is hashed with
/// its length, so moving a byte from one part to the next changes the digest.
/// Not cryptographically secure.
std::string stable_digest(std::initializer_list<std::string_view> parts);

} // namespace monsoondock::base
