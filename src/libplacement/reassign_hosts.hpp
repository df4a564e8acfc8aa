#pragma once

#include "planner_state.hpp"

namespace monsoondock::placement::pvt {

/// Returns true when a group in the domain is closing.
bool has_closing_group(
    const planning_step& step, const base::fabric_domain_id& domain);


/// Returns true when the domain's free hosts are reserved for a group of a
/// model other than m.
bool is_reserved_for_other_model(
    const planning_step& step,
    const base::fabric_domain_id& domain,
    const catalog::model& m);


/// Closes serving groups whose hosts, together with the free hosts of their
/// domain, can form a group of a model that needs them more. Chooses at most
/// one such group per step, the one with the greatest gain.
void reassign_hosts(planning_step& step, const free_by_domain& free);

} // namespace monsoondock::placement::pvt
