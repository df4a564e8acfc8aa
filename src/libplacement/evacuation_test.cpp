#include "fake_hosts_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::placement;
using namespace std::chrono_literals;

namespace {

const base::data_centre_id evacuated{"evacuated"};
const base::data_centre_id other{"other"};


/// Two data centres with a domain each, all of whose hosts are in groups.
struct cluster
{
    cluster()
    {
        for (int h = 0; h < 10; ++h) {
            add("d0-" + std::to_string(h), "d0", evacuated);
            add("d1-" + std::to_string(h), "d1", other);
        }
        hosts_.input_.needed_hosts_ = {{"large", 6}, {"small", 6}};
        hosts_.input_.before_traffic_ = true;
        hosts_.run(planner_, 20s);
        hosts_.input_.before_traffic_ = false;
    }


    void
    add(const std::string& id,
        const std::string& domain,
        const base::data_centre_id& data_centre)
    {
        hosts_.add(id, domain);
        hosts_.hosts_[{id}].data_centre_ = data_centre;
    }


    /// Returns the number of hosts in groups of a model.
    int grouped_hosts(
        const std::string& model, const base::data_centre_id& data_centre) const
    {
        int count = 0;
        for (const auto& [id, h] : hosts_.hosts_)
            count +=
                h.role_ && h.model_ == model && h.data_centre_ == data_centre;
        return count;
    }


    /// Loses a member of a group in the evacuated data centre and returns the
    /// group.
    fleet::group_key lose_member()
    {
        for (const auto& [id, h] : hosts_.hosts_) {
            if (!h.role_ || h.role_->rank_ == 0 || h.data_centre_ != evacuated)
                continue;
            hosts_.crash(id.value_);
            hosts_.input_.unreachable_.insert(id);
            return h.role_->key_;
        }
        return {};
    }


    int members_of(const fleet::group_key& key) const
    {
        int count = 0;
        for (const auto& [id, h] : hosts_.hosts_)
            count += h.role_ && h.role_->key_ == key;
        return count;
    }

    fake_hosts hosts_{two_models()};
    std::uint64_t epoch_ = 0;
    planner planner_{{"llm"}, {}, [this] {
                         return ++epoch_;
                     }};
};

} // namespace

// Guards against orders to an evacuated data centre, and against taking groups
// apart there that are to serve again at the end.
Test(evacuation, a_group_that_loses_a_member_is_left_until_the_end)
{
    cluster c;
    c.hosts_.input_.evacuated_ = {evacuated, other};
    const unsigned orders = c.hosts_.orders_;
    const auto key = c.lose_member();
    const int members = c.members_of(key);
    c.hosts_.run(c.planner_, 60s);
    cr_assert_eq(c.hosts_.orders_, orders);
    cr_assert_eq(c.members_of(key), members);
    c.hosts_.input_.evacuated_.clear();
    c.hosts_.run(c.planner_, 10s);
    cr_assert_lt(c.members_of(key), members);
    cr_assert_eq(c.hosts_.joins_while_open_, 0);
    cr_assert_eq(c.hosts_.opens_before_ready_, 0);
}


// Guards against the same by a leader that is elected during an evacuation.
Test(evacuation, a_new_planner_leaves_the_groups_as_they_are)
{
    cluster c;
    c.hosts_.input_.evacuated_ = {evacuated, other};
    const auto key = c.lose_member();
    const int members = c.members_of(key);
    const unsigned orders = c.hosts_.orders_;
    planner second{{"llm"}, {}, [&c] {
                       return ++c.epoch_;
                   }};
    c.hosts_.run(second, 20s);
    cr_assert_eq(c.hosts_.orders_, orders);
    c.hosts_.input_.evacuated_.clear();
    c.hosts_.run(second, 10s);
    cr_assert_lt(c.members_of(key), members);
    cr_assert_eq(c.hosts_.joins_while_open_, 0);
}


// Guards against counting groups as capacity that get no requests.
Test(evacuation, demand_is_met_in_another_data_centre)
{
    cluster c;
    c.hosts_.input_.needed_hosts_ = {{"large", 7}, {"small", 0.5}};
    c.hosts_.input_.evacuated_ = {evacuated};
    const int in_evacuated = c.grouped_hosts("large", evacuated);
    c.hosts_.run(c.planner_, 60s);
    cr_assert_eq(c.grouped_hosts("large", other), 8);
    cr_assert_eq(c.grouped_hosts("large", evacuated), in_evacuated);
}


// Guards against abandoning a formation because its time limit has passed
// during an evacuation.
Test(evacuation, a_group_that_was_forming_goes_on_after_the_end)
{
    fake_hosts hosts(two_models());
    std::uint64_t epoch = 0;
    planner p{{"llm"}, {}, [&epoch] {
                  return ++epoch;
              }};
    for (int h = 0; h < 10; ++h) {
        hosts.add("h" + std::to_string(h), "d");
        hosts.hosts_[{"h" + std::to_string(h)}].data_centre_ = evacuated;
    }
    hosts.input_.before_traffic_ = true;
    while (epoch == 0)
        hosts.run(p, 100ms);
    hosts.input_.evacuated_ = {evacuated};
    hosts.run(p, 120s);
    const std::uint64_t formed = epoch;
    hosts.input_.evacuated_.clear();
    hosts.run(p, 20s);
    cr_assert_gt(p.serving_groups(), 1);
    cr_assert_eq(epoch, formed);
}
