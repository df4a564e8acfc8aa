#include "fake_hosts_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::placement;
using namespace std::chrono_literals;

namespace {

struct planner_fixture
{
    explicit planner_fixture(
        unsigned domains,
        unsigned hosts = 10,
        const catalog::engine& engine = two_models())
        : hosts_(engine)
    {
        for (unsigned d = 0; d < domains; ++d) {
            for (unsigned h = 0; h < hosts; ++h)
                hosts_.add(
                    "d" + std::to_string(d) + "-" + std::to_string(h),
                    "d" + std::to_string(d));
        }
    }


    planner make_planner()
    {
        return {{"llm"}, {}, [this] {
                    return ++epoch_;
                }};
    }


    /// Returns a planner that has placed all hosts before any traffic.
    planner start()
    {
        hosts_.input_.before_traffic_ = true;
        planner p = make_planner();
        hosts_.run(p, 20s);
        hosts_.input_.before_traffic_ = false;
        return p;
    }


    void check_order_rules() const
    {
        cr_assert_eq(hosts_.joins_while_open_, 0);
        cr_assert_eq(hosts_.opens_before_ready_, 0);
    }

    fake_hosts hosts_;
    std::uint64_t epoch_ = 0;
};


std::string find_head(const fake_hosts& hosts, const std::string& model)
{
    for (const auto& [id, h] : hosts.hosts_) {
        if (h.role_ && h.role_->rank_ == 0 && h.model_ == model)
            return id.value_;
    }
    return {};
}


std::string find_member(const fake_hosts& hosts, const std::string& head)
{
    const auto key = hosts.hosts_.at({head}).role_->key_;
    for (const auto& [id, h] : hosts.hosts_) {
        if (h.role_ && h.role_->key_ == key && h.role_->rank_ > 0)
            return id.value_;
    }
    return {};
}

} // namespace

Test(planner, places_all_hosts_by_expected_shares)
{
    planner_fixture fixture(6);
    fixture.hosts_.input_.before_traffic_ = true;
    auto p = fixture.make_planner();
    fixture.hosts_.run(p, 20s);
    const unsigned large = fixture.hosts_.open_groups("large");
    const unsigned small = fixture.hosts_.open_groups("small");
    cr_assert_eq(4 * large + 2 * small, 60);
    // Half of the load each: 30 hosts, as close as the group sizes allow.
    cr_assert(large == 7 || large == 8);
    fixture.check_order_rules();
}


Test(planner, a_lost_member_is_replaced_within_seconds)
{
    planner_fixture fixture(1);
    auto p = fixture.start();
    const unsigned before = fixture.hosts_.open_groups("large");
    const std::string lost =
        find_member(fixture.hosts_, find_head(fixture.hosts_, "large"));
    fixture.hosts_.crash(lost);
    fixture.hosts_.input_.unreachable_.insert({lost});
    fixture.hosts_.run(p, 4s);
    cr_assert_eq(fixture.hosts_.open_groups("large"), before);
    fixture.check_order_rules();
}


Test(planner, members_of_an_unreachable_head_leave_before_they_join_again)
{
    planner_fixture fixture(1);
    auto p = fixture.start();
    const std::string head = find_head(fixture.hosts_, "large");
    const std::string member = find_member(fixture.hosts_, head);
    const auto key = fixture.hosts_.hosts_.at({member}).role_->key_;
    // The head keeps running but can't be reached.
    fixture.hosts_.disconnect(head);
    fixture.hosts_.input_.unreachable_.insert({head});
    fixture.hosts_.run(p, 3s);
    cr_assert(fixture.hosts_.hosts_.at({member}).role_->key_ != key);
    fixture.check_order_rules();
}


Test(planner, a_reconnected_open_head_leaves_before_it_joins_again)
{
    planner_fixture fixture(1);
    auto p = fixture.start();
    const std::string head = find_head(fixture.hosts_, "small");
    const auto entry = fixture.hosts_.hosts_.at({head});
    fixture.hosts_.disconnect(head);
    fixture.hosts_.input_.unreachable_.insert({head});
    fixture.hosts_.run(p, 2s);
    fixture.hosts_.remove_entry(head);
    fixture.hosts_.run(p, 3s);
    fixture.hosts_.hosts_[{head}] = entry;
    fixture.hosts_.reconnect(head);
    fixture.hosts_.input_.unreachable_.clear();
    fixture.hosts_.run(p, 5s);
    fixture.check_order_rules();
}


Test(planner, a_new_planner_dissolves_a_group_without_its_head)
{
    planner_fixture fixture(1);
    auto first = fixture.start();
    const std::string head = find_head(fixture.hosts_, "small");
    const auto entry = fixture.hosts_.hosts_.at({head});
    fixture.hosts_.disconnect(head);
    fixture.hosts_.remove_entry(head);
    auto second = fixture.make_planner();
    fixture.hosts_.run(second, 5s);
    fixture.check_order_rules();
}


Test(planner, a_draining_member_closes_its_group_before_it_is_replaced)
{
    planner_fixture fixture(1);
    fixture.hosts_.input_.before_traffic_ = true;
    auto p = fixture.make_planner();
    fixture.hosts_.run(p, 20s);
    const unsigned before = fixture.hosts_.open_groups("small");
    fixture.hosts_.drain(
        find_member(fixture.hosts_, find_head(fixture.hosts_, "small")));
    fixture.hosts_.run(p, 10s);
    cr_assert(fixture.hosts_.open_groups("small") + 1 >= before);
    fixture.check_order_rules();
}


Test(planner, lost_answers_cause_no_invalid_join)
{
    planner_fixture fixture(2);
    fixture.hosts_.input_.before_traffic_ = true;
    auto p = fixture.make_planner();
    fixture.hosts_.answers_to_drop_ = 40;
    fixture.hosts_.run(p, 20s);
    cr_assert(fixture.hosts_.open_groups("large") >= 2);
    fixture.check_order_rules();
}


Test(planner, a_new_planner_adopts_open_groups)
{
    planner_fixture fixture(2);
    fixture.hosts_.input_.before_traffic_ = true;
    auto first = fixture.make_planner();
    fixture.hosts_.run(first, 20s);
    const std::uint64_t epochs = fixture.epoch_;
    auto second = fixture.make_planner();
    fixture.hosts_.run(second, 5s);
    cr_assert_eq(fixture.epoch_, epochs);
    cr_assert(second.serving_groups() > 0);
    fixture.check_order_rules();
}


Test(planner, member_churn_violates_no_order_rule)
{
    planner_fixture fixture(6);
    auto p = fixture.start();
    unsigned random = 7;
    for (int round = 0; round < 12; ++round) {
        const std::string domain = "d" + std::to_string(round % 6);
        for (int n = 0; n < 2; ++n) {
            random = random * 1103515245U + 12345U;
            const std::string id =
                domain + "-" + std::to_string((random >> 16U) % 10);
            if (!fixture.hosts_.hosts_.contains({id}))
                continue;
            fixture.hosts_.crash(id);
            fixture.hosts_.input_.unreachable_.insert({id});
        }
        fixture.hosts_.run(p, 2500ms);
        fixture.hosts_.add("n" + std::to_string(round), domain);
        fixture.hosts_.run(p, 1500ms);
        std::vector<std::string> gone;
        for (const auto& id : fixture.hosts_.input_.unreachable_)
            fixture.hosts_.remove_entry(id.value_);
    }
    fixture.hosts_.run(p, 25s);
    fixture.check_order_rules();
    cr_assert(fixture.hosts_.open_groups("large") >= 4);
    cr_assert(fixture.hosts_.open_groups("small") >= 6);
}


// Guards against joining members of a group that still runs: when the store
// delays a host's writes, its head can be listed as closed too early. Found by
// a run of sdw-yard (TWO) with seed 467539073486.
Test(planner, members_leave_a_group_that_is_only_listed_as_closed)
{
    planner_fixture fixture(1);
    auto p = fixture.start();
    fixture.hosts_.list_closing_as_ready_ = true;
    fixture.hosts_.close_time_ = 5s;
    fixture.hosts_.drain(
        find_member(fixture.hosts_, find_head(fixture.hosts_, "large")));
    fixture.hosts_.run(p, 10s);
    fixture.check_order_rules();
}


Test(planner, a_refused_leave_does_not_count_as_accepted)
{
    planner_fixture fixture(1);
    fixture.hosts_.input_.before_traffic_ = true;
    fixture.hosts_.refuse_leave_while_opening_ = true;
    auto p = fixture.make_planner();
    // Runs until the members of the first groups have joined and the heads
    // open.
    fixture.hosts_.run(p, 2200ms);
    for (int i = 0; i < 10; ++i) {
        const std::string lost =
            find_member(fixture.hosts_, find_head(fixture.hosts_, "small"));
        fixture.hosts_.input_.unreachable_ = {{lost}};
        fixture.hosts_.run(p, 300ms);
        fixture.hosts_.input_.unreachable_.clear();
        fixture.hosts_.run(p, 200ms);
    }
    fixture.hosts_.run(p, 5s);
    fixture.check_order_rules();
}


// Guards against joining an open head to another group: when the store loses a
// host's writes, the entry of a head can expire and reappear while a new
// planner is dissolving its group. Found by runs of sdw-yard (TWO) with seeds
// 467539073486 and 862543266553.
Test(planner, a_relisted_head_leaves_before_it_joins_again)
{
    planner_fixture fixture(1);
    auto first = fixture.start();
    const std::string head = find_head(fixture.hosts_, "large");
    const std::string member = find_member(fixture.hosts_, head);
    const auto entry = fixture.hosts_.hosts_.at({head});
    fixture.hosts_.disconnect(member);
    fixture.hosts_.remove_entry(head);
    auto second = fixture.make_planner();
    fixture.hosts_.run(second, 2s);
    fixture.hosts_.hosts_[{head}] = entry;
    fixture.hosts_.run(second, 2s);
    fixture.hosts_.reconnect(member);
    fixture.hosts_.run(second, 5s);
    fixture.check_order_rules();
}
