#pragma once

#include "group_state.hpp"

namespace monsoondock::daemon {

/// Starts a status probe of a host, unless one is in progress or the last one
/// was sent less than interval ago.
void probe_host(
    group_state& state,
    const base::host_id& host,
    std::chrono::milliseconds interval);


/// Probes the members of all groups that this daemon observes.
void probe_groups(group_state& state);

} // namespace monsoondock::daemon
