#pragma once

#include <monsoondock/traffic/service_row.hpp>

#include <vector>

namespace monsoondock::traffic::pvt {

/// Returns the host of the service with the fewest requests of this daemon
/// that was not tried yet, or null.
const service_host* choose_host(
    const service_row& service, const std::vector<base::host_id>& tried);

} // namespace monsoondock::traffic::pvt
