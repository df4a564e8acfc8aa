#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/catalog/engine.hpp>
#include <monsoondock/fleet/host_table.hpp>

#include <map>
#include <set>
#include <string>

namespace monsoondock::placement {

/// State of a deployment at one time, from which a planner decides.
struct planner_input
{
    base::time_point now_;
    /// Listed hosts of all deployments; not owned, never null in a step.
    const fleet::host_table* hosts_ = nullptr;
    /// Engine of the planner's deployment; not owned, never null in a step.
    const catalog::engine* engine_ = nullptr;
    /// Hosts that failed to respond, although they may still be listed.
    std::set<base::host_id> unreachable_;
    /// Data centres that are being evacuated. Their groups are no capacity, and
    /// their hosts get no orders.
    std::set<base::data_centre_id> evacuated_;
    /// Measured demand for each model: the number of hosts that its requests
    /// keep busy. The planner uses the model's expected share when it is
    /// absent.
    std::map<std::string, double> needed_hosts_;
    /// True before the first request, while loads take a tenth of their time
    /// and the load rate limit does not apply.
    bool before_traffic_ = false;
};

} // namespace monsoondock::placement
