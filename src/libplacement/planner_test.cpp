#include "fake_hosts_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::placement;
using namespace std::chrono_literals;

namespace {

struct bench
{
    explicit bench(unsigned domains, unsigned hosts = 10) : hosts_(two_models())
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


    void check_orders() const
    {
        cr_assert_eq(hosts_.joins_of_open_groups_, 0);
        cr_assert_eq(hosts_.early_opens_, 0);
    }

    fake_hosts hosts_;
    std::uint64_t epoch_ = 0;
};


std::string head_of(const fake_hosts& hosts, const std::string& model)
{
    for (const auto& [id, h] : hosts.hosts_) {
        if (h.role_ && h.role_->rank_ == 0 && h.model_ == model)
            return id.value_;
    }
    return {};
}


std::string member_of(const fake_hosts& hosts, const std::string& head)
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
    bench b(6);
    b.hosts_.input_.before_traffic_ = true;
    auto p = b.make_planner();
    b.hosts_.run(p, 20s);
    const unsigned large = b.hosts_.open_groups("large");
    const unsigned small = b.hosts_.open_groups("small");
    cr_assert_eq(4 * large + 2 * small, 60);
    // Half of the work each: 30 hosts, as near as whole groups allow.
    cr_assert(large == 7 || large == 8);
    b.check_orders();
}


Test(planner, a_lost_member_is_replaced_within_seconds)
{
    bench b(1);
    auto p = b.start();
    const unsigned before = b.hosts_.open_groups("large");
    const std::string lost = member_of(b.hosts_, head_of(b.hosts_, "large"));
    b.hosts_.silence(lost);
    b.hosts_.input_.unreachable_.insert({lost});
    b.hosts_.run(p, 4s);
    cr_assert_eq(b.hosts_.open_groups("large"), before);
    b.check_orders();
}


Test(planner, members_of_a_silent_head_leave_before_they_go_elsewhere)
{
    bench b(1);
    auto p = b.start();
    const std::string head = head_of(b.hosts_, "large");
    const std::string member = member_of(b.hosts_, head);
    const auto key = b.hosts_.hosts_.at({member}).role_->key_;
    // The head works on, but nobody reaches it.
    b.hosts_.cut_off(head);
    b.hosts_.input_.unreachable_.insert({head});
    b.hosts_.run(p, 3s);
    cr_assert(b.hosts_.hosts_.at({member}).role_->key_ != key);
    b.check_orders();
}


Test(planner, a_head_that_comes_back_open_is_not_joined_before_it_has_left)
{
    bench b(1);
    auto p = b.start();
    const std::string head = head_of(b.hosts_, "small");
    const auto entry = b.hosts_.hosts_.at({head});
    b.hosts_.cut_off(head);
    b.hosts_.input_.unreachable_.insert({head});
    b.hosts_.run(p, 2s);
    b.hosts_.unlist(head);
    b.hosts_.run(p, 3s);
    b.hosts_.hosts_[{head}] = entry;
    b.hosts_.reconnect(head);
    b.hosts_.input_.unreachable_.clear();
    b.hosts_.run(p, 5s);
    b.check_orders();
}


Test(planner, another_planner_has_members_leave_a_group_without_its_head)
{
    bench b(1);
    auto first = b.start();
    const std::string head = head_of(b.hosts_, "small");
    const auto entry = b.hosts_.hosts_.at({head});
    b.hosts_.cut_off(head);
    b.hosts_.unlist(head);
    auto second = b.make_planner();
    b.hosts_.run(second, 5s);
    b.check_orders();
}


Test(planner, a_leaving_member_closes_its_group_before_it_is_replaced)
{
    bench b(1);
    b.hosts_.input_.before_traffic_ = true;
    auto p = b.make_planner();
    b.hosts_.run(p, 20s);
    const unsigned before = b.hosts_.open_groups("small");
    b.hosts_.drain(member_of(b.hosts_, head_of(b.hosts_, "small")));
    b.hosts_.run(p, 10s);
    cr_assert(b.hosts_.open_groups("small") + 1 >= before);
    b.check_orders();
}


Test(planner, lost_answers_lead_to_no_wrong_join)
{
    bench b(2);
    b.hosts_.input_.before_traffic_ = true;
    auto p = b.make_planner();
    b.hosts_.lost_answers_ = 40;
    b.hosts_.run(p, 20s);
    cr_assert(b.hosts_.open_groups("large") >= 2);
    b.check_orders();
}


Test(planner, another_planner_takes_over_open_groups)
{
    bench b(2);
    b.hosts_.input_.before_traffic_ = true;
    auto first = b.make_planner();
    b.hosts_.run(first, 20s);
    const std::uint64_t epochs = b.epoch_;
    auto second = b.make_planner();
    b.hosts_.run(second, 5s);
    cr_assert_eq(b.epoch_, epochs);
    cr_assert(second.serving_groups() > 0);
    b.check_orders();
}


Test(planner, churn_of_members_breaks_no_order_rule)
{
    bench b(6);
    auto p = b.start();
    unsigned random = 7;
    for (int round = 0; round < 12; ++round) {
        const std::string domain = "d" + std::to_string(round % 6);
        for (int n = 0; n < 2; ++n) {
            random = random * 1103515245U + 12345U;
            const std::string id =
                domain + "-" + std::to_string((random >> 16U) % 10);
            if (!b.hosts_.hosts_.contains({id}))
                continue;
            b.hosts_.silence(id);
            b.hosts_.input_.unreachable_.insert({id});
        }
        b.hosts_.run(p, 2500ms);
        b.hosts_.add("n" + std::to_string(round), domain);
        b.hosts_.run(p, 1500ms);
        std::vector<std::string> gone;
        for (const auto& id : b.hosts_.input_.unreachable_)
            b.hosts_.unlist(id.value_);
    }
    b.hosts_.run(p, 25s);
    b.check_orders();
    cr_assert(b.hosts_.open_groups("large") >= 4);
    cr_assert(b.hosts_.open_groups("small") >= 6);
}


// Found by a hunt on sdw-yard (TWO, seed 467539073486): the store delayed the
// hosts' own writes.
Test(planner, members_leave_a_group_that_is_only_listed_as_closed)
{
    bench b(1);
    auto p = b.start();
    b.hosts_.lists_close_early_ = true;
    b.hosts_.close_time_ = 5s;
    b.hosts_.drain(member_of(b.hosts_, head_of(b.hosts_, "large")));
    b.hosts_.run(p, 10s);
    b.check_orders();
}


Test(planner, a_refused_leave_is_not_taken_for_one_that_was_done)
{
    bench b(1);
    b.hosts_.input_.before_traffic_ = true;
    b.hosts_.refuses_leave_while_opening_ = true;
    auto p = b.make_planner();
    // Until the joins of the first groups are done and the heads open.
    b.hosts_.run(p, 2200ms);
    for (int i = 0; i < 10; ++i) {
        const std::string lost =
            member_of(b.hosts_, head_of(b.hosts_, "small"));
        b.hosts_.input_.unreachable_ = {{lost}};
        b.hosts_.run(p, 300ms);
        b.hosts_.input_.unreachable_.clear();
        b.hosts_.run(p, 200ms);
    }
    b.hosts_.run(p, 5s);
    b.check_orders();
}


// Found by hunts on sdw-yard (TWO, seeds 467539073486 and 862543266553): the
// store lost writes of hosts, so the entry of a head lapsed and came back while
// a new planner was giving up its group.
Test(planner, a_head_that_is_listed_again_leaves_before_it_is_joined)
{
    bench b(1);
    auto first = b.start();
    const std::string head = head_of(b.hosts_, "large");
    const std::string member = member_of(b.hosts_, head);
    const auto entry = b.hosts_.hosts_.at({head});
    b.hosts_.cut_off(member);
    b.hosts_.unlist(head);
    auto second = b.make_planner();
    b.hosts_.run(second, 2s);
    b.hosts_.hosts_[{head}] = entry;
    b.hosts_.run(second, 2s);
    b.hosts_.reconnect(member);
    b.hosts_.run(second, 5s);
    b.check_orders();
}
