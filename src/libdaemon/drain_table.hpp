#pragma once

#include <monsoondock/base/identifier.hpp>

#include <set>

namespace monsoondock::daemon {

/// Hosts and daemons that operators drain, stored under `drains/host/<id>` and
/// `drains/daemon/<id>`.
struct drain_table
{
    std::set<base::host_id> hosts_;
    std::set<base::daemon_id> daemons_;
};

} // namespace monsoondock::daemon
