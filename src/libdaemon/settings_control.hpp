#pragma once

#include "control_state.hpp"

namespace monsoondock::daemon {

/// Puts what the tracker has in force at the daemon's disposal, unless the
/// daemon must still wait after its start, and posts the page "settings".
void apply_settings(control_state& state);

} // namespace monsoondock::daemon
