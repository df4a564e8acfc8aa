#pragma once

#include "planner_state.hpp"

#include <optional>

namespace monsoondock::placement::pvt {

/// How a host can come to run a model.
struct host_readiness
{
    weights_source source_ = weights_source::weight_store;
    /// Time until it could be ready in a group, a load included.
    std::chrono::milliseconds time_{0};
    /// The host is loading the weights already.
    bool loading_ = false;
};


/// Returns how soon a host could be ready in a group of a model.
host_readiness readiness_of(
    const planning& p, const fleet::host_info& host, const catalog::model& m);


/// Returns true when the host needs no load to run the model.
bool has_weights(
    const planning& p, const fleet::host_info& host, const catalog::model& m);


/// Hosts of one domain that could form a group of a model.
struct candidate
{
    base::fabric_domain_id domain_;
    host_list hosts_;
    /// Until the slowest host is ready.
    std::chrono::milliseconds time_{0};
    /// Hosts that lack the weights.
    unsigned loads_ = 0;
};


/// Returns the hosts among those of one domain that could form a group of the
/// model soonest, or nothing when there are too few.
std::optional<candidate> best_of_domain(
    const planning& p,
    const base::fabric_domain_id& domain,
    host_list hosts,
    const catalog::model& m);


/// Returns the domain's candidate that could form a group soonest.
std::optional<candidate> best_candidate(
    const planning& p, const free_by_domain& free, const catalog::model& m);

} // namespace monsoondock::placement::pvt
