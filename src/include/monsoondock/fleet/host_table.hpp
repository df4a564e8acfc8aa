#pragma once

#include <monsoondock/fleet/host_info.hpp>

#include <map>

namespace monsoondock::fleet {

/// All hosts that the platform currently lists, by ID.
using host_table = std::map<base::host_id, host_info>;

} // namespace monsoondock::fleet
