#pragma once

#include "request_context.hpp"

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/routing/router.hpp>

#include <string>
#include <vector>

namespace monsoondock::traffic::pvt {

/// What decides where a completion goes.
struct group_question
{
    base::deployment_id deployment_;
    /// Start of the prompt, which a group may have cached; may be empty.
    std::string prefix_;
    /// Groups that were tried before and are left out.
    std::vector<base::group_id> tried_;
    /// Groups that may be used; all when there is none.
    std::vector<base::group_id> allowed_{};
};


/// Returns the group that the request should go to, or null when none may take
/// it at now.
const group_row* choose_group(
    routing::router& router,
    const routing_snapshot& snapshot,
    const group_question& question,
    base::time_point now);

} // namespace monsoondock::traffic::pvt
