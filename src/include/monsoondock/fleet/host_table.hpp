#pragma once

#include <monsoondock/fleet/host_fact.hpp>

#include <map>

namespace monsoondock::fleet {

/// All hosts that the platform lists now, by name.
using host_table = std::map<base::host_id, host_fact>;

} // namespace monsoondock::fleet
