#include <monsoondock/fleet/replica_group.hpp>

#include <criterion/criterion.h>

namespace fleet = monsoondock::fleet;

namespace {

const monsoondock::base::deployment_id llm{"llm"};
const std::map<std::string, unsigned> sizes{{"large", 2}};


void add_member(
    fleet::host_table& hosts,
    const std::string& id,
    unsigned rank,
    fleet::group_phase phase,
    std::uint64_t epoch = 3)
{
    fleet::host_info host;
    host.id_ = {id};
    host.deployment_ = llm;
    host.model_ = "large";
    host.role_ = fleet::group_role{{"g", epoch}, rank, phase};
    hosts[host.id_] = host;
}


fleet::host_table complete_group()
{
    fleet::host_table hosts;
    add_member(hosts, "a", 1, fleet::group_phase::ready);
    add_member(hosts, "b", 0, fleet::group_phase::open);
    return hosts;
}


bool serves(const fleet::host_table& hosts)
{
    const auto groups = fleet::derive_groups(hosts, llm, sizes);
    return fleet::may_serve(groups.at({"g", 3}));
}

} // namespace

Test(replica_group, a_complete_open_group_serves_with_its_head_first)
{
    const auto groups = fleet::derive_groups(complete_group(), llm, sizes);
    cr_assert_eq(groups.size(), 1);
    const auto& g = groups.begin()->second;
    cr_assert(fleet::may_serve(g));
    cr_assert(g.members_.front().value_ == "b");
}


Test(replica_group, does_not_serve_while_a_member_is_missing)
{
    auto hosts = complete_group();
    hosts.erase({"a"});
    cr_assert_not(serves(hosts));
}


Test(replica_group, does_not_serve_with_a_member_of_another_epoch)
{
    auto hosts = complete_group();
    add_member(hosts, "a", 1, fleet::group_phase::ready, 4);
    cr_assert_not(serves(hosts));
}


Test(replica_group, does_not_serve_while_a_member_joins_or_leaves)
{
    auto hosts = complete_group();
    hosts[{"a"}].role_->phase_ = fleet::group_phase::joining;
    cr_assert_not(serves(hosts));
    hosts = complete_group();
    hosts[{"a"}].draining_ = true;
    cr_assert_not(serves(hosts));
}


Test(replica_group, does_not_serve_before_its_head_is_open)
{
    auto hosts = complete_group();
    hosts[{"b"}].role_->phase_ = fleet::group_phase::ready;
    cr_assert_not(serves(hosts));
    hosts[{"b"}].role_->phase_ = fleet::group_phase::closing;
    cr_assert_not(serves(hosts));
}
