#pragma once

#include "planner_state.hpp"

namespace monsoondock::placement::pvt {

/// Returns the number of hosts that the requests for a model keep busy, as
/// measured or else as expected from the model's share.
double needed_hosts_for(const planning_step& step, const catalog::model& m);


/// Returns the number of hosts in groups of a model that serve or are about to,
/// including the groups that pending reassignments are to form.
double committed_hosts(const planning_step& step, const std::string& model);


/// Returns the reduction in shortage cost when a model's groups have more
/// hosts; negative for fewer hosts.
double shortage_reduction(
    const planning_step& step, const catalog::model& m, double more);


/// Returns the seconds of the planning horizon that remain after a wait, at
/// least 0.
double
remaining_horizon_s(const planning_step& step, std::chrono::milliseconds wait);

} // namespace monsoondock::placement::pvt
