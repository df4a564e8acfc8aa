#pragma once

#include "group_state.hpp"

namespace monsoondock::daemon {

/// Applies a domain record from a watch or list of the store. It does not
/// extend the leader's lease, because the time at which the store read it is
/// unknown.
void apply_domain_object(group_state& state, const platform::object& object);


/// Runs one step of control for every fabric domain of the own data centre:
/// reads the records of the domains that this daemon leads, and starts the
/// writes, orders and probes that are due.
void step_domains(group_state& state);

} // namespace monsoondock::daemon
