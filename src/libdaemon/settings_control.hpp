#pragma once

#include "control_state.hpp"

namespace monsoondock::daemon {

/// Applies the settings that the revision tracker has in force, unless the
/// daemon must still wait after its start (see settings::cold_start), and
/// updates the admin page "settings".
void apply_settings(control_state& state);

} // namespace monsoondock::daemon
