#pragma once

#include "planner_state.hpp"

namespace monsoondock::placement::pvt {

/// Returns true when a group in the domain is being closed for its hosts.
bool is_giving_up(const planning& p, const base::fabric_domain_id& domain);


/// Returns true when the domain's free hosts wait for a group of a model other
/// than m.
bool is_kept_for_other(
    const planning& p,
    const base::fabric_domain_id& domain,
    const catalog::model& m);


/// Closes groups whose hosts, with the free ones of their domain, form a group
/// of a model that is needed more.
void take_from_donors(planning& p, const free_by_domain& free);

} // namespace monsoondock::placement::pvt
