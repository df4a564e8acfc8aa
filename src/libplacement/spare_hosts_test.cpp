// Domains whose size no combination of groups fills, as 19 hosts with groups of
// 8 and 4: three hosts of each domain are spare. Members of groups are lost
// for good every few seconds.

#include "fake_hosts_test.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace monsoondock;
using namespace monsoondock::placement;
using namespace std::chrono_literals;

namespace {

constexpr unsigned domain_count = 4;
constexpr unsigned hosts_per_domain = 19;
constexpr unsigned large_size = 8;
constexpr unsigned small_size = 4;


catalog::engine large_groups()
{
    catalog::engine e = two_models();
    e.models_[0].group_size_ = large_size;
    e.models_[1].group_size_ = small_size;
    e.parallel_loads_ = 8;
    return e;
}


struct cluster
{
    cluster()
    {
        for (unsigned d = 0; d < domain_count; ++d) {
            for (unsigned h = 0; h < hosts_per_domain; ++h)
                hosts_.add(
                    "d" + std::to_string(d) + "-" + std::to_string(h),
                    "d" + std::to_string(d));
        }
        hosts_.input_.needed_hosts_ = {{"large", 24}, {"small", 24}};
        hosts_.input_.before_traffic_ = true;
        hosts_.run(planner_, 20s);
        hosts_.input_.before_traffic_ = false;
    }


    void lose(const std::string& id)
    {
        hosts_.crash(id);
        hosts_.input_.unreachable_.insert({id});
    }


    std::string member_of(const std::string& model) const
    {
        for (const auto& [id, h] : hosts_.hosts_) {
            if (h.role_ && h.role_->rank_ > 0 && h.model_ == model &&
                !hosts_.input_.unreachable_.contains(id))
                return id.value_;
        }
        return {};
    }


    unsigned count_spares(bool with_weights) const
    {
        return static_cast<unsigned>(std::count_if(
            hosts_.hosts_.begin(), hosts_.hosts_.end(), [&](const auto& e) {
                return !e.second.role_ &&
                       e.second.staged_.empty() != with_weights;
            }));
    }

    fake_hosts hosts_{large_groups()};
    std::uint64_t epoch_ = 0;
    planner planner_{{"llm"}, {}, [this] {
                         return ++epoch_;
                     }};
};

} // namespace

Test(spare_hosts, have_weights_before_traffic_starts)
{
    const cluster c;
    cr_assert_geq(c.count_spares(true), domain_count * 3);
    cr_assert_eq(c.count_spares(false), 0);
}


Test(spare_hosts, replace_a_lost_member_without_a_load)
{
    for (const std::string model : {"large", "small"}) {
        cluster c;
        const unsigned groups = c.hosts_.open_groups(model);
        c.lose(c.member_of(model));
        cr_assert_eq(c.hosts_.open_groups(model), groups - 1);
        // Leaving, a join from staged weights, and opening.
        c.hosts_.run(c.planner_, 3s);
        cr_assert_eq(c.hosts_.open_groups(model), groups, "%s", model.c_str());
    }
}


Test(spare_hosts, added_hosts_load_weights_before_a_group_needs_them)
{
    cluster c;
    for (unsigned h = 0; h < 2; ++h)
        c.hosts_.add("d0-new" + std::to_string(h), "d0");
    c.hosts_.run(c.planner_, 20s);
    cr_assert_eq(c.count_spares(false), 0);
}


Test(spare_hosts, loads_of_serving_hosts_leave_room_for_added_hosts)
{
    // A new leader does not know which weights are in memory, and finds many
    // hosts that could load those of another model.
    cluster c;
    for (auto& [id, h] : c.hosts_.hosts_) {
        if (h.role_)
            h.staged_.clear();
    }
    planner successor{{"llm"}, {}, [&c] {
                          return ++c.epoch_;
                      }};
    c.hosts_.run(successor, 2s);
    const unsigned before = c.hosts_.loads_started_;
    for (unsigned h = 0; h < 4; ++h)
        c.hosts_.add("d1-new" + std::to_string(h), "d1");
    c.hosts_.run(successor, 3s);
    cr_assert_geq(c.hosts_.loads_started_ - before, 4);
    c.hosts_.run(successor, 40s);
    for (unsigned h = 0; h < 4; ++h)
        cr_assert_not(
            c.hosts_.hosts_.at({"d1-new" + std::to_string(h)}).staged_.empty());
}
