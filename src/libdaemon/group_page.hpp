#pragma once

#include "group_state.hpp"

#include <string>

namespace monsoondock::daemon {

/// Returns the JSON text of `/admin/groups`: every group that this daemon
/// knows, whether it may take requests and why not, the age of the evidence
/// of each host, and the leader of each domain.
std::string group_page(group_state& state, base::time_point now);

} // namespace monsoondock::daemon
