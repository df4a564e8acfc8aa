#pragma once

#include "request_context.hpp"

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/routing/router.hpp>

#include <string>
#include <vector>

namespace monsoondock::traffic::pvt {

/// Criteria for choosing the group of a completion.
struct group_query
{
    base::deployment_id deployment_;
    /// Start of the prompt, which a group may have cached; may be empty.
    std::string prefix_;
    /// Groups that were already tried and are excluded.
    std::vector<base::group_id> tried_;
    /// Groups that may be used; empty allows all.
    std::vector<base::group_id> allowed_{};
};


/// Returns the group to send the request to, or null when none is eligible at
/// time now.
const group_row* choose_group(
    routing::router& router,
    const routing_snapshot& snapshot,
    const group_query& query,
    base::time_point now);

} // namespace monsoondock::traffic::pvt
