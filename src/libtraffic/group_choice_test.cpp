#include "group_choice.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace monsoondock;
using namespace monsoondock::traffic;
using namespace std::chrono_literals;

namespace {

routing_snapshot make_snapshot(int count)
{
    routing_snapshot snapshot;
    for (int i = 0; i < count; ++i) {
        group_row row;
        row.group_ = {std::string("g").append(std::to_string(i))};
        row.deployment_ = {"copal-llm"};
        row.data_centre_ = {"heredia"};
        row.fresh_until_ = base::time_point(10s);
        row.load_ = std::make_shared<upstream_load>();
        snapshot.groups_.push_back(row);
    }
    return snapshot;
}


routing::router make_router()
{
    return {routing::routing_policy::prefix_affinity, {"heredia"}, 7};
}

} // namespace


Test(group_choice, excludes_tried_expired_failed_and_other_deployments_groups)
{
    auto snapshot = make_snapshot(5);
    snapshot.groups_[0].fresh_until_ = base::time_point(1s);
    snapshot.groups_[1].load_->suspect_ = true;
    snapshot.groups_[2].deployment_ = {"other"};
    auto router = make_router();
    const pvt::group_query query{{"copal-llm"}, "", {{"g3"}}};
    for (int i = 0; i < 50; ++i) {
        const auto* row =
            pvt::choose_group(router, snapshot, query, base::time_point(2s));
        cr_assert(row == &snapshot.groups_[4]);
    }
    const auto now = base::time_point(11s);
    cr_assert(!pvt::choose_group(router, snapshot, query, now));
}


Test(group_choice, prefix_is_sticky_until_its_group_is_loaded)
{
    const auto snapshot = make_snapshot(6);
    auto router = make_router();
    const pvt::group_query query{{"copal-llm"}, "You grade resin.", {}};
    const auto now = base::time_point(2s);
    const auto* first = pvt::choose_group(router, snapshot, query, now);
    for (int i = 0; i < 20; ++i)
        cr_assert(pvt::choose_group(router, snapshot, query, now) == first);
    first->load_->in_flight_ = 12;
    cr_assert(pvt::choose_group(router, snapshot, query, now) != first);
}


Test(upstream_load, estimate_adds_change_in_flight_since_report)
{
    upstream_load load;
    load.in_flight_ = 3;
    record_load_report(load, 8, 2);
    cr_assert(estimate_load(load) == 10);
    load.in_flight_ = 5;
    cr_assert(estimate_load(load) == 12);
    load.in_flight_ = 0;
    cr_assert(estimate_load(load) == 7);
    record_load_report(load, 0, 0);
    load.in_flight_ = 4;
    cr_assert(estimate_load(load) == 4);
}
