#include <monsoondock/routing/router.hpp>

#include <criterion/criterion.h>

#include <map>

using namespace monsoondock;
using namespace monsoondock::routing;
using namespace std::chrono_literals;

namespace {

std::vector<group_view> make_groups(int count)
{
    std::vector<group_view> groups;
    for (int i = 0; i < count; ++i) {
        group_view g;
        g.group_ = {std::string("g").append(std::to_string(i))};
        g.data_centre_ = {"heredia"};
        g.slots_ = 16;
        groups.push_back(g);
    }
    return groups;
}


base::time_point at(std::chrono::milliseconds t)
{
    return base::time_point(t);
}

} // namespace


Test(dispatch_history, corrects_load_report_by_later_dispatches)
{
    dispatch_history history;
    group_view g = make_groups(1).front();
    g.report_ = {5, 2, at(100ms)};
    history.dispatched(g.group_, at(90ms));
    history.dispatched(g.group_, at(110ms));
    history.dispatched(g.group_, at(120ms));
    history.finished(g.group_, at(130ms));
    cr_assert(history.estimate_load(g) == 8);
    cr_assert(history.in_flight(g.group_) == 2);
    g.report_ = {0, 0, at(200ms)};
    cr_assert(
        history.estimate_load(g) == 2, "own requests are still in flight");
}


Test(router, leaves_the_prefix_group_when_it_is_much_more_loaded)
{
    router r(routing_policy::prefix_affinity, {"heredia"}, 1);
    auto groups = make_groups(8);
    const auto first = *r.choose("system prompt", groups, at(0ms));
    for (int i = 0; i < 20; ++i)
        cr_assert(
            r.choose("system prompt", groups, at(0ms))->index_ == first.index_);
    groups[first.index_].report_.running_ = 12;
    const auto other = *r.choose("system prompt", groups, at(0ms));
    cr_assert(other.reason_ == choice_reason::prefix_overflow);
    cr_assert(other.index_ != first.index_);
}


Test(router, prefers_own_data_centre_until_it_is_loaded)
{
    router r(routing_policy::two_choices, {"heredia"}, 1);
    auto groups = make_groups(2);
    groups[1].data_centre_ = {"cartago"};
    int far = 0;
    for (int i = 0; i < 400; ++i)
        far += r.choose("", groups, at(0ms))->index_ == 1;
    cr_assert(far < 150, "chosen only when both draws are the remote group");
    groups[0].report_ = {16, 8, at(0ms)};
    far = 0;
    for (int i = 0; i < 400; ++i)
        far += r.choose("", groups, at(0ms))->index_ == 1;
    cr_assert(far > 250);
}


Test(straggler_detector, slow_group_is_ejected_and_tried_again)
{
    straggler_detector d;
    const auto groups = make_groups(8);
    for (int i = 0; i < 10; ++i)
        for (std::size_t g = 0; g < 8; ++g)
            d.observe(groups[g].group_, g == 3 ? 300ms : 68ms, at(i * 1000ms));
    const auto ejected = d.ejected(8, at(10s));
    cr_assert(ejected == std::set<base::group_id>{groups[3].group_});
    cr_assert(d.ejected(8, at(60s)).empty());
}


Test(straggler_detector, never_ejects_more_than_the_maximum_share)
{
    ejection_bounds bounds;
    bounds.straggler_ratio_ = 0.1;
    straggler_detector d(bounds);
    const auto groups = make_groups(8);
    for (int i = 0; i < 10; ++i)
        for (const auto& g : groups)
            d.observe(g.group_, 100ms, at(1s));
    cr_assert(d.ejected(8, at(2s)).size() == 2);
    cr_assert(d.ejected(3, at(2s)).empty());
    cr_assert(d.ejected(1, at(2s)).empty());
}
