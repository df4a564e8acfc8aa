#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/quarantine/suspect_fingerprint.hpp>

#include <vector>

namespace monsoondock::quarantine {

/// Number of groups on which a request may run before it is known harmless.
inline constexpr std::size_t CONFINED_GROUPS = 2;


/// Orders groups for a request by rendezvous hashing, the same on every
/// daemon that knows the same groups. Copies of one request that arrive at
/// several daemons at once meet on the first CONFINED_GROUPS of them.
std::vector<base::group_id> rank_groups(
    const suspect_fingerprint& fingerprint, std::vector<base::group_id> groups);

} // namespace monsoondock::quarantine
