#pragma once

#include "control_state.hpp"

namespace monsoondock::daemon {

/// Updates the metrics of the control thread: live members, groups that
/// requests may be dispatched to, and the totals of the peer socket.
void update_control_metrics(control_state& state);

} // namespace monsoondock::daemon
