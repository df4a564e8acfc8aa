#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::groups {

/// Daemons that probe the hosts of one group.
inline constexpr std::size_t OBSERVERS_PER_GROUP = 2;


/// Returns the daemons, of those of the group's data centre, that probe its
/// hosts; the preferred one first.
std::vector<base::daemon_id> observers_of(
    const base::group_id& group, const std::vector<base::daemon_id>& daemons);


/// Returns the daemon of a data centre that asker asks for the verdicts on all
/// groups there, or an empty id when there is none. attempt counts the
/// unanswered requests, so that the next daemon is asked after a silence.
base::daemon_id relay_of(
    const base::daemon_id& asker,
    const base::data_centre_id& data_centre,
    const std::vector<base::daemon_id>& daemons,
    std::size_t attempt);

} // namespace monsoondock::groups
