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

/// All that a traffic thread needs to serve a request. The control thread
/// makes a new one for every change; nobody changes one once published.
struct routing_snapshot
{
    /// Settings revision in force; 0 before the first one.
    std::uint64_t settings_revision_ = 0;
    /// True once the daemon may take callers.
    bool ready_ = false;
    /// True from the start of a planned stop.
    bool draining_ = false;
    std::vector<workspace_row> workspaces_;
    /// Names of the model deployments, also of those without a group.
    std::vector<base::deployment_id> models_;
    std::vector<group_row> groups_;
    std::vector<service_row> services_;
    /// Entry hosts that take new callers.
    std::vector<entry_host_row> entry_hosts_;
    /// Other daemons that are known to live.
    std::vector<base::daemon_id> live_daemons_;
};

} // namespace monsoondock::traffic
