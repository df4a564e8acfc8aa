#pragma once

#include "group_state.hpp"

namespace monsoondock::daemon {

/// Publishes the groups that may take requests when they have changed or their
/// evidence is due for renewal, applies failures that traffic threads have
/// reported, and updates the admin page "groups".
void update_groups(group_state& state);

} // namespace monsoondock::daemon
