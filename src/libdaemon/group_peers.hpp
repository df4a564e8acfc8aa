#pragma once

#include "group_state.hpp"

#include <vector>

namespace monsoondock::daemon {

/// Returns the daemons of a data centre that are not considered dead, ordered
/// by name. Includes this daemon if it runs there.
std::vector<base::daemon_id> daemons_of(
    const control_state& control, const base::data_centre_id& data_centre);


/// Returns the other data centres of the own region that have live daemons.
std::vector<base::data_centre_id>
other_data_centres_of_region(const control_state& control);


/// Returns the data centre of a group, taken from its first host in the
/// platform's list; empty when none of its hosts is listed.
base::data_centre_id
data_centre_of(const control_state& control, const groups::group_record& group);


/// Returns true when this daemon probes the hosts of a group: it is one of the
/// group's observers, or the group's data centre has no live daemon.
bool observes(const control_state& control, const groups::group_record& group);

} // namespace monsoondock::daemon
