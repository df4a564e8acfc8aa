#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/traffic/entry_host_row.hpp>
#include <monsoondock/traffic/group_row.hpp>
#include <monsoondock/traffic/service_row.hpp>
#include <monsoondock/traffic/workspace_row.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::traffic {

/// Immutable routing table that the traffic threads use to serve requests. The
/// control thread publishes a new one for every change.
struct routing_snapshot
{
    /// Settings revision in force; 0 before the first one.
    std::uint64_t settings_revision_ = 0;
    /// True once the daemon may serve callers.
    bool ready_ = false;
    /// True from the start of a planned shutdown.
    bool draining_ = false;
    std::vector<workspace_row> workspaces_;
    /// Names of all model deployments, including those without a group.
    std::vector<base::deployment_id> models_;
    std::vector<group_row> groups_;
    std::vector<service_row> services_;
    /// Entry hosts that accept new callers.
    std::vector<entry_host_row> entry_hosts_;
    /// Other daemons that are known to be alive.
    std::vector<base::daemon_id> live_daemons_;
};

} // namespace monsoondock::traffic
