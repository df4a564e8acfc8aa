#pragma once

#include <cstdint>
#include <string_view>

namespace monsoondock::base {

/// Returns the 64-bit XXH3 hash of data, identical on every host and in every
/// release. Not cryptographically secure.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

} // namespace monsoondock::base
