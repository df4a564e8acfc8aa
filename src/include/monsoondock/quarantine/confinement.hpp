#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/quarantine/suspect_fingerprint.hpp>

#include <string>
#include <vector>

namespace monsoondock::quarantine {

/// Number of groups on which a request may run before it is known harmless.
inline constexpr std::size_t CONFINED_GROUPS = 2;


/// Number of groups over which requests with one prefix are spread first.
inline constexpr std::size_t PREFIX_HOMES = 3;


/// Orders groups for a request, the same on every daemon that knows the same
/// groups: first one of the PREFIX_HOMES groups of its prefix, if any is given,
/// then all others by rendezvous hashing of the fingerprint. Copies of one
/// request that arrive at several daemons at once meet on the first
/// CONFINED_GROUPS of them, while requests that only share the prefix spread
/// over all.
std::vector<base::group_id> rank_groups(
    const suspect_fingerprint& fingerprint,
    const std::string& prefix,
    std::vector<base::group_id> groups);

} // namespace monsoondock::quarantine
