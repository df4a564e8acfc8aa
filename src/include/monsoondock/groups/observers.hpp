#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::groups {

/// Number of daemons that probe the hosts of one group.
inline constexpr std::size_t OBSERVERS_PER_GROUP = 2;


/// Returns the observers of a group: the daemons that probe its hosts, the
/// preferred one first. daemons are those of the group's data centre.
std::vector<base::daemon_id> observers_of(
    const base::group_id& group, const std::vector<base::daemon_id>& daemons);


/// Returns the daemon of a data centre that requester asks for the health of
/// all groups there, or an empty id when there is none. attempt is the number
/// of relays that failed to answer; each further attempt selects another
/// daemon.
base::daemon_id relay_of(
    const base::daemon_id& requester,
    const base::data_centre_id& data_centre,
    const std::vector<base::daemon_id>& daemons,
    std::size_t attempt);

} // namespace monsoondock::groups
