#pragma once

#include "group_state.hpp"

namespace monsoondock::daemon {

/// Publishes the groups that may take requests when they changed or their
/// evidence was renewed, takes in failures that traffic threads saw, and
/// posts the page "groups".
void update_groups(group_state& state);

} // namespace monsoondock::daemon
