#pragma once

#include "planner_state.hpp"

#include <optional>

namespace monsoondock::placement::pvt {

/// How, and how soon, a host could run a model.
struct host_readiness
{
    weights_source source_ = weights_source::weight_store;
    /// Time until the host could be ready in a group, including any load.
    std::chrono::milliseconds time_{0};
    /// True when the host is already loading the weights.
    bool loading_ = false;
};


/// Returns how, and how soon, the host could be ready in a group of the model.
host_readiness readiness_of(
    const planning_step& step,
    const fleet::host_info& host,
    const catalog::model& m);


/// Returns true when the host can run the model without loading its weights.
bool has_weights(
    const planning_step& step,
    const fleet::host_info& host,
    const catalog::model& m);


/// Hosts of one domain that could form a group of a model.
struct candidate
{
    base::fabric_domain_id domain_;
    host_list hosts_;
    /// Time until the slowest host is ready.
    std::chrono::milliseconds time_{0};
    /// Number of hosts that lack the weights.
    unsigned hosts_without_weights_ = 0;
};


/// Returns those of the domain's hosts that could form a group of the model
/// soonest, or nothing when there are too few.
std::optional<candidate> best_of_domain(
    const planning_step& step,
    const base::fabric_domain_id& domain,
    host_list hosts,
    const catalog::model& m);

} // namespace monsoondock::placement::pvt
