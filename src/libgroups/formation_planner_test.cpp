#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/formation_planner.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::groups;

namespace {

std::vector<base::host_id> hosts(std::size_t count)
{
    std::vector<base::host_id> made;
    for (std::size_t i = 0; i < count; ++i)
        made.push_back(base::host_id{"h" + std::to_string(i)});
    return made;
}


deployment_demand
demand(const char* name, std::size_t min, std::size_t wanted, std::size_t max)
{
    return deployment_demand{base::deployment_id{name}, 2, min, wanted, max};
}


domain_record empty_record()
{
    domain_record record;
    record.domain_ = base::fabric_domain_id{"a"};
    return record;
}

} // namespace


Test(formation_planner, meets_all_minimums_first)
{
    const auto plan = plan_formation(
        empty_record(),
        hosts(5),
        {demand("x", 1, 5, 5), demand("y", 1, 1, 1)},
        0);
    cr_assert(plan.new_groups_.size() == 2);
    cr_assert(plan.new_groups_[0].deployment_.value_ == "x");
    cr_assert(plan.new_groups_[1].deployment_.value_ == "y");
    const domain_record next = with_new_groups(empty_record(), plan);
    cr_assert(!check_change(empty_record(), next).has_value());
}


Test(formation_planner, wanted_groups_leave_spare_hosts_free)
{
    const auto few =
        plan_formation(empty_record(), hosts(5), {demand("x", 1, 2, 2)}, 2);
    cr_assert(few.new_groups_.size() == 1);
    const auto enough =
        plan_formation(empty_record(), hosts(6), {demand("x", 1, 2, 2)}, 2);
    cr_assert(enough.new_groups_.size() == 2);
}


Test(formation_planner, newest_group_is_surplus)
{
    domain_record record = with_new_groups(
        empty_record(),
        plan_formation(empty_record(), hosts(4), {demand("x", 2, 2, 2)}, 0));
    for (group_record& group : record.groups_)
        group.phase_ = group_phase::serving;
    const auto plan = plan_formation(record, {}, {demand("x", 0, 1, 2)}, 0);
    cr_assert(plan.surplus_.size() == 1);
    cr_assert(plan.surplus_[0] == record.groups_[1].id_);
}


Test(formation_planner, order_of_the_input_does_not_matter)
{
    auto reversed = hosts(6);
    std::reverse(reversed.begin(), reversed.end());
    const std::vector<deployment_demand> one{
        demand("x", 1, 2, 2), demand("y", 1, 1, 1)};
    const std::vector<deployment_demand> two{one[1], one[0]};
    const auto a = plan_formation(empty_record(), hosts(6), one, 0);
    const auto b = plan_formation(empty_record(), reversed, two, 0);
    cr_assert(a.new_groups_ == b.new_groups_);
}
