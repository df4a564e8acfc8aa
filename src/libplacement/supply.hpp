#pragma once

#include "planner_state.hpp"

namespace monsoondock::placement::pvt {

/// Returns the hosts that the requests for a model keep busy.
double needed_by(const planning& p, const catalog::model& m);


/// Returns the hosts in groups of a model that serve or soon will, those that
/// donations are to bring included.
double hosts_of(const planning& p, const std::string& model);


/// Returns what more, or fewer, hosts in groups of a model are worth.
double gain(const planning& p, const catalog::model& m, double more);


/// Returns the part of the horizon that is left after a wait.
double seconds_left(const planning& p, std::chrono::milliseconds wait);

} // namespace monsoondock::placement::pvt
