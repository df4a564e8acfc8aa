#pragma once

#include "group_state.hpp"

#include <string>

namespace monsoondock::daemon {

/// Returns the JSON text of `/admin/groups`: the time on the boot clock for
/// which it holds, the leader of each fabric domain, and for every known group
/// whether it may take requests, the reason if not, and the age of the evidence
/// for each of its hosts.
std::string group_page(group_state& state, base::time_point now);

} // namespace monsoondock::daemon
