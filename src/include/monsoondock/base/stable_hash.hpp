#pragma once

#include <cstdint>
#include <string_view>

namespace monsoondock::base {

/// Returns a 64-bit hash of data that is the same on every host and release.
/// Not for secrets. Source: XXH3 of the xxHash library.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

} // namespace monsoondock::base
