#pragma once

#include "group_state.hpp"

namespace monsoondock::daemon {

/// Takes a record as a watch or list gives it. Such a read proves no lease,
/// because it is not known when the store made it.
void take_domain(group_state& state, const platform::object& object);


/// Takes part in the control of every domain of the own data centre: reads
/// the records of those led, and starts the writes, orders and probes that
/// are due.
void step_domains(group_state& state);

} // namespace monsoondock::daemon
