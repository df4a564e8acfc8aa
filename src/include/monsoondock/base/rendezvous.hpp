#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::base {

/// Orders nodes by rendezvous (highest random weight) hashing for key, the
/// preferred node first, and returns the positions of the first count of
/// them. Removing a node moves only the keys that preferred it.
std::vector<std::size_t> rendezvous_order(
    std::string_view key,
    const std::vector<std::string>& nodes,
    std::size_t count);

} // namespace monsoondock::base
