#pragma once

#include <monsoondock/base/identifier.hpp>

#include <set>

namespace monsoondock::daemon {

/// What operators want emptied (`drains/host/<id>`, `drains/daemon/<id>`).
struct drain_table
{
    std::set<base::host_id> hosts_;
    std::set<base::daemon_id> daemons_;
};

} // namespace monsoondock::daemon
