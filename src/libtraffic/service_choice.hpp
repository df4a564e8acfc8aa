#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/traffic/service_row.hpp>

#include <vector>

namespace monsoondock::traffic::pvt {

/// Returns the untried host of the service with the fewest requests in flight
/// from this daemon, or null when all were tried or are at the limit that they
/// have named.
const service_host* choose_host(
    const service_row& service,
    const std::vector<base::host_id>& tried,
    base::time_point now);

} // namespace monsoondock::traffic::pvt
