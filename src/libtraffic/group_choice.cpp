#include "group_choice.hpp"

#include <algorithm>

namespace monsoondock::traffic::pvt {

const group_row* choose_group(
    const routing_snapshot& snapshot,
    const base::deployment_id& deployment,
    const std::vector<base::group_id>& tried,
    base::time_point now)
{
    const group_row* best = nullptr;
    for (const group_row& row : snapshot.groups_) {
        if (row.deployment_ != deployment || !may_dispatch(row, now))
            continue;
        if (std::find(tried.begin(), tried.end(), row.group_) != tried.end())
            continue;
        if (best == nullptr || row.load_->in_flight_ < best->load_->in_flight_)
            best = &row;
    }
    return best;
}

} // namespace monsoondock::traffic::pvt
