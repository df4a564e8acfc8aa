#include "group_choice.hpp"

#include <algorithm>

namespace monsoondock::traffic::pvt {

namespace {

// Load is compared per so many requests; all groups count as equally large.
constexpr unsigned SLOTS_PER_GROUP = 16;


bool contains(
    const std::vector<base::group_id>& groups, const base::group_id& group)
{
    return std::find(groups.begin(), groups.end(), group) != groups.end();
}


bool may_take(
    const group_row& row, const group_question& question, base::time_point now)
{
    const auto& allowed = question.allowed_;
    return row.deployment_ == question.deployment_ && may_dispatch(row, now) &&
           !contains(question.tried_, row.group_) &&
           (allowed.empty() || contains(allowed, row.group_));
}


// The load is corrected for all threads, so it counts as reported now.
routing::group_view to_view(const group_row& row, base::time_point now)
{
    routing::group_view view;
    view.group_ = row.group_;
    view.data_centre_ = row.data_centre_;
    view.slots_ = SLOTS_PER_GROUP;
    view.report_ = {estimate_load(*row.load_), 0, now};
    return view;
}

} // namespace

const group_row* choose_group(
    routing::router& router,
    const routing_snapshot& snapshot,
    const group_question& question,
    base::time_point now)
{
    std::vector<const group_row*> rows;
    std::vector<routing::group_view> views;
    for (const group_row& row : snapshot.groups_) {
        if (!may_take(row, question, now))
            continue;
        rows.push_back(&row);
        views.push_back(to_view(row, now));
    }
    const auto choice = router.choose(question.prefix_, views, now);
    return choice ? rows[choice->index_] : nullptr;
}

} // namespace monsoondock::traffic::pvt
