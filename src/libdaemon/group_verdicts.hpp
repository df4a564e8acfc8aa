#pragma once

#include "group_state.hpp"

#include <string>

namespace monsoondock::daemon {

/// Asks the observers of groups of the own data centre, the leaders of its
/// domains, and one relay in each neighbour, when a round is due.
void ask_for_verdicts(group_state& state);


/// Takes a body from the channel for verdicts: answers a request, or takes in
/// a reply. A malformed or unexpected one has no effect.
void take_verdict_body(
    group_state& state, const base::daemon_id& sender, const std::string& body);

} // namespace monsoondock::daemon
