#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/quarantine/suspect_fingerprint.hpp>

#include <string>
#include <vector>

namespace monsoondock::quarantine {

/// Maximum number of groups on which a request may run until it is known not to
/// crash them.
inline constexpr std::size_t CONFINED_GROUPS = 2;


/// Number of groups over which requests with the same prefix are spread, so
/// that they find the prefix in a group's cache.
inline constexpr std::size_t PREFIX_GROUPS = 3;


/// Ranks groups for a request by rendezvous hashing of its fingerprint. If a
/// prefix is given, one of the PREFIX_GROUPS groups of the prefix comes first.
/// The result is the same on every daemon that knows the same groups. Copies of
/// one request that reach several daemons at the same time are therefore sent
/// to the same first CONFINED_GROUPS groups, while requests that share only the
/// prefix are spread over all groups.
std::vector<base::group_id> rank_groups(
    const suspect_fingerprint& fingerprint,
    const std::string& prefix,
    std::vector<base::group_id> groups);

} // namespace monsoondock::quarantine
