#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/traffic/routing_snapshot.hpp>

#include <string>
#include <string_view>

namespace monsoondock::daemon {

/// Returns the JSON page `/admin/explain?workspace=W&deployment=D`, which helps
/// an operator to see how a request would be routed: whether the daemon knows
/// the workspace and the deployment, the load of each group or host of the
/// deployment, and whether a request may be dispatched to each group at now.
std::string explain_page(
    const traffic::routing_snapshot& snapshot,
    std::string_view target,
    base::time_point now);

} // namespace monsoondock::daemon
