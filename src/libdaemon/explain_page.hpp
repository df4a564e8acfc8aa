#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/traffic/routing_snapshot.hpp>

#include <string>
#include <string_view>

namespace monsoondock::daemon {

/// Returns the JSON page `/admin/explain?workspace=W&deployment=D`: whether the
/// daemon knows both names, and for each group or host of the deployment
/// whether it may get a request at now, and its load.
std::string explain_page(
    const traffic::routing_snapshot& snapshot,
    std::string_view target,
    base::time_point now);

} // namespace monsoondock::daemon
