#pragma once

#include "group_state.hpp"

#include <vector>

namespace monsoondock::daemon {

/// Returns the daemons of a data centre that are not held dead, this one
/// included when it is there, in the order of their names.
std::vector<base::daemon_id> daemons_of(
    const control_state& control, const base::data_centre_id& data_centre);


/// Returns the other data centres of the own region that have daemons.
std::vector<base::data_centre_id> neighbours_of(const control_state& control);


/// Returns the data centre of a group by its listed hosts; empty when none of
/// them is listed.
base::data_centre_id
data_centre_of(const control_state& control, const groups::group_record& group);


/// Returns true when this daemon probes the hosts of a group: as one of its
/// observers, or because its data centre has no daemon.
bool observes(const control_state& control, const groups::group_record& group);

} // namespace monsoondock::daemon
