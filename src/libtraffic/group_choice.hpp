#pragma once

#include "request_context.hpp"

#include <monsoondock/base/generation.hpp>

#include <vector>

namespace monsoondock::traffic::pvt {

/// Returns the group of deployment that the request should go to, leaving out
/// those that were tried before, or null when none may take it at now.
const group_row* choose_group(
    const routing_snapshot& snapshot,
    const base::deployment_id& deployment,
    const std::vector<base::group_id>& tried,
    base::time_point now);

} // namespace monsoondock::traffic::pvt
