#include "group_choice.hpp"

#include <algorithm>

namespace monsoondock::traffic::pvt {

namespace {

// Assumed number of requests that a group can run concurrently; all groups are
// treated as equally large.
constexpr unsigned slots_per_group = 16;


bool contains(
    const std::vector<base::group_id>& groups, const base::group_id& group)
{
    return std::find(groups.begin(), groups.end(), group) != groups.end();
}


bool is_eligible(
    const group_row& row, const group_query& query, base::time_point now)
{
    const auto& allowed = query.allowed_;
    return row.deployment_ == query.deployment_ && may_dispatch(row, now) &&
           row.load_->limit_.may_send(now) &&
           !contains(query.tried_, row.group_) &&
           (allowed.empty() || contains(allowed, row.group_));
}


// estimate_load() includes requests sent since the report, so the report is
// dated now.
routing::group_view to_view(const group_row& row, base::time_point now)
{
    routing::group_view view;
    view.group_ = row.group_;
    view.data_centre_ = row.data_centre_;
    view.slots_ = slots_per_group;
    view.report_ = {estimate_load(*row.load_), 0, now};
    return view;
}

} // namespace

const group_row* choose_group(
    routing::router& router,
    const routing_snapshot& snapshot,
    const group_query& query,
    base::time_point now)
{
    std::vector<const group_row*> rows;
    std::vector<routing::group_view> views;
    for (const group_row& row : snapshot.groups_) {
        if (!is_eligible(row, query, now))
            continue;
        rows.push_back(&row);
        views.push_back(to_view(row, now));
    }
    const auto choice = router.choose(query.prefix_, views, now);
    return choice ? rows[choice->index_] : nullptr;
}

} // namespace monsoondock::traffic::pvt
