#include <monsoondock/capacity/allocation.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::capacity;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};


allocation_request make_request(
    const char* name, std::vector<demand_scenario> scenarios, double downtime)
{
    allocation_request request;
    request.deployment_.value_ = name;
    request.forecast_.scenarios_ = std::move(scenarios);
    request.weights_ = {downtime, 1.0};
    request.hosts_per_group_ = 4;
    request.max_groups_ = 8;
    return request;
}


std::vector<allocation>
allocate_hosts(std::vector<allocation_request> requests, std::size_t hosts)
{
    allocation_state state;
    return allocate(std::move(requests), {hosts, 0, 30min}, state, start);
}

} // namespace


Test(allocation, cost_weights_determine_the_demand_quantile)
{
    const std::vector<demand_scenario> even{
        {1, 0.25}, {2, 0.25}, {3, 0.25}, {4, 0.25}};
    cr_assert(
        allocate_hosts({make_request("a", even, 9.0)}, 100)[0].groups_ == 4);
    cr_assert(
        allocate_hosts({make_request("a", even, 1.5)}, 100)[0].groups_ == 3);
    cr_assert(
        allocate_hosts({make_request("a", even, 0.1)}, 100)[0].groups_ == 1);
}


Test(allocation, scarce_hosts_go_to_the_highest_expected_saving)
{
    const auto result = allocate_hosts(
        {make_request("busy", {{3, 1.0}}, 4.0),
         make_request("maybe", {{3, 0.5}, {0, 0.5}}, 4)},
        12);
    cr_assert(result[0].groups_ == 3);
    cr_assert(result[1].groups_ == 0);
    cr_assert(result[1].reason_ == allocation_reason::hosts);
}


Test(allocation, minimums_precede_spares_and_other_demand)
{
    allocation_request calm = make_request("calm", {{0, 1.0}}, 1.0);
    calm.min_groups_ = 1;
    allocation_state state;
    const auto result = allocate(
        {make_request("busy", {{9, 1.0}}, 4.0), calm},
        {12, 4, 30min},
        state,
        start);
    cr_assert(result[0].groups_ == 1);
    cr_assert(result[1].groups_ == 1);
    cr_assert(result[1].reason_ == allocation_reason::minimum);
}


Test(allocation, short_dip_in_demand_releases_no_group)
{
    allocation_state state;
    allocation_request request = make_request("a", {{1, 1.0}}, 4.0);
    request.current_groups_ = 3;
    const domain_limits limits{100, 0, 30min};
    const auto early = allocate({request}, limits, state, start);
    cr_assert(early[0].groups_ == 3);
    cr_assert(early[0].reason_ == allocation_reason::held);
    cr_assert(
        allocate({request}, limits, state, start + 31min)[0].groups_ == 1);
    allocation_request risen = request;
    risen.forecast_.scenarios_ = {{3, 1.0}};
    allocate({risen}, limits, state, start + 32min);
    cr_assert(
        allocate({request}, limits, state, start + 33min)[0].groups_ == 3);
}


Test(allocation, surplus_group_is_released_if_another_deployment_needs_it)
{
    allocation_request calm = make_request("calm", {{0, 1.0}}, 4.0);
    calm.current_groups_ = 2;
    const auto result =
        allocate_hosts({make_request("busy", {{2, 1.0}}, 4.0), calm}, 8);
    cr_assert(result[0].groups_ == 2);
    cr_assert(result[1].groups_ == 0);
}
