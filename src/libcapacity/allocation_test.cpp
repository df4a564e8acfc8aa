#include <monsoondock/capacity/allocation.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::capacity;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};


contender
make(const char* name, std::vector<demand_scenario> scenarios, double downtime)
{
    contender c;
    c.deployment_.value_ = name;
    c.forecast_.scenarios_ = std::move(scenarios);
    c.weights_ = {downtime, 1.0};
    c.hosts_per_group_ = 4;
    c.max_groups_ = 8;
    return c;
}


std::vector<allocation>
plan(std::vector<contender> contenders, std::size_t hosts)
{
    allocation_memory memory;
    return allocate(std::move(contenders), {hosts, 0, 30min}, memory, start);
}

} // namespace


Test(allocation, weights_choose_the_quantile_of_the_demand)
{
    const std::vector<demand_scenario> even{
        {1, 0.25}, {2, 0.25}, {3, 0.25}, {4, 0.25}};
    cr_assert(plan({make("a", even, 9.0)}, 100)[0].groups_ == 4);
    cr_assert(plan({make("a", even, 1.5)}, 100)[0].groups_ == 3);
    cr_assert(plan({make("a", even, 0.1)}, 100)[0].groups_ == 1);
}


Test(allocation, scarce_hosts_go_where_a_group_is_needed_most)
{
    const auto result = plan(
        {make("busy", {{3, 1.0}}, 4.0), make("maybe", {{3, 0.5}, {0, 0.5}}, 4)},
        12);
    cr_assert(result[0].groups_ == 3);
    cr_assert(result[1].groups_ == 0);
    cr_assert(result[1].reason_ == allocation_reason::hosts);
}


Test(allocation, minimums_come_before_spares_and_other_demand)
{
    contender calm = make("calm", {{0, 1.0}}, 1.0);
    calm.min_groups_ = 1;
    allocation_memory memory;
    const auto result = allocate(
        {make("busy", {{9, 1.0}}, 4.0), calm}, {12, 4, 30min}, memory, start);
    cr_assert(result[0].groups_ == 1);
    cr_assert(result[1].groups_ == 1);
    cr_assert(result[1].reason_ == allocation_reason::minimum);
}


Test(allocation, a_short_dip_gives_up_no_group)
{
    allocation_memory memory;
    contender c = make("a", {{1, 1.0}}, 4.0);
    c.current_groups_ = 3;
    const domain_bounds bounds{100, 0, 30min};
    const auto early = allocate({c}, bounds, memory, start);
    cr_assert(early[0].groups_ == 3);
    cr_assert(early[0].reason_ == allocation_reason::held);
    cr_assert(allocate({c}, bounds, memory, start + 31min)[0].groups_ == 1);
    contender risen = c;
    risen.forecast_.scenarios_ = {{3, 1.0}};
    allocate({risen}, bounds, memory, start + 32min);
    cr_assert(allocate({c}, bounds, memory, start + 33min)[0].groups_ == 3);
}


Test(allocation, a_surplus_group_is_not_held_against_the_need_of_another)
{
    contender calm = make("calm", {{0, 1.0}}, 4.0);
    calm.current_groups_ = 2;
    const auto result = plan({make("busy", {{2, 1.0}}, 4.0), calm}, 8);
    cr_assert(result[0].groups_ == 2);
    cr_assert(result[1].groups_ == 0);
}
