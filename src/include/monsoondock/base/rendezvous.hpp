#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::base {

/// Ranks nodes for key by rendezvous (highest random weight) hashing and
/// returns the indexes of the first count nodes, highest weight first. Removing
/// a node remaps only the keys that ranked it first.
std::vector<std::size_t> rendezvous_order(
    std::string_view key,
    const std::vector<std::string>& nodes,
    std::size_t count);

} // namespace monsoondock::base
