#pragma once

#include "control_state.hpp"

namespace monsoondock::daemon {

/// Updates the metrics of control: members, groups that may take requests,
/// and the totals of the peer socket.
void post_control_metrics(control_state& state);

} // namespace monsoondock::daemon
