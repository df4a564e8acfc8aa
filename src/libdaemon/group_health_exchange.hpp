#pragma once

#include "group_state.hpp"

#include <string>

namespace monsoondock::daemon {

/// Sends health requests when a round is due: to the observers of groups in the
/// own data centre, to the leaders of its domains, and to one relay in each
/// other data centre of the region.
void request_group_health(group_state& state);


/// Handles the body of a group health message: replies to a request, or applies
/// a reply. Malformed and unexpected messages are ignored.
void handle_group_health_body(
    group_state& state, const base::daemon_id& sender, const std::string& body);

} // namespace monsoondock::daemon
