#include "host_exchange.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;

namespace {

constexpr int host_count = 250;


platform::object make_entry(int host, std::uint64_t version)
{
    return {"hosts/host-" + std::to_string(host), {version}, "{}"};
}


/// Entries of one daemon and its log of how it took them.
struct daemon_side
{
    pvt::feed_position position_;
    pvt::host_log log_;
    pvt::host_entries entries_;
};


void take(daemon_side& d, int host, std::uint64_t version)
{
    const auto entry = make_entry(host, version);
    d.entries_[{"host-" + std::to_string(host)}] = entry;
    d.log_.add({entry, false});
    d.position_.sequence_ = d.log_.sequence();
}


daemon_side make_side(const std::string& name)
{
    daemon_side d;
    d.position_.source_ = name;
    for (int i = 0; i < host_count; ++i)
        take(d, i, 100 + static_cast<std::uint64_t>(i));
    return d;
}


pvt::feed_answer
ask(const daemon_side& asker,
    const pvt::feed_position& from,
    const daemon_side& asked)
{
    const pvt::feed_question q{from, pvt::digest_of(asker.entries_)};
    return answer_feed(
        pvt::parse_feed_question("/hosts" + pvt::to_query(q)),
        asked.position_,
        asked.log_,
        asked.entries_);
}

} // namespace

Test(host_exchange, within_one_life_only_what_is_new_is_told)
{
    const daemon_side follower = make_side("follower/1");
    daemon_side leader = make_side("leader/1");
    const auto from = leader.position_;
    take(leader, 7, 900);
    const auto a = ask(follower, from, leader);
    cr_assert(a.whole_parts_.empty());
    cr_assert_eq(a.changes_.size(), 1);
    cr_assert(a.position_ == leader.position_);
}


Test(host_exchange, a_new_leader_with_the_same_entries_tells_none)
{
    const daemon_side follower = make_side("follower/1");
    const daemon_side leader = make_side("leader/1");
    const auto a = ask(follower, {"old-leader/1", 812}, leader);
    cr_assert(a.whole_parts_.empty());
    cr_assert(a.changes_.empty());
    cr_assert(a.position_ == leader.position_);
}


Test(host_exchange, a_new_leader_tells_the_parts_that_differ)
{
    const daemon_side follower = make_side("follower/1");
    daemon_side leader = make_side("leader/1");
    take(leader, 7, 900);
    leader.entries_.erase({"host-31"});
    const auto a = ask(follower, {"old-leader/1", 812}, leader);
    cr_assert_eq(a.whole_parts_.size(), 2);
    cr_assert_lt(a.changes_.size(), host_count / 8);
}


Test(host_exchange, who_knows_nothing_is_told_all)
{
    const daemon_side leader = make_side("leader/1");
    const auto a = ask({}, {}, leader);
    cr_assert_eq(a.changes_.size(), host_count);
}


Test(host_exchange, a_push_tells_what_comes_after_the_position)
{
    const std::vector<platform::change> changes{
        {make_entry(1, 11), false}, {make_entry(2, 12), false}};
    const pvt::feed_position up_to{"leader/1", 12};
    const auto both = pvt::take_push({"leader/1", 10}, up_to, changes);
    cr_assert(both && both->changes_ == changes);
    cr_assert(both->position_ == up_to);
    const auto last = pvt::take_push({"leader/1", 11}, up_to, changes);
    cr_assert(last && last->changes_.size() == 1);
    cr_assert(last->changes_.front() == changes.back());
}


Test(host_exchange, a_push_with_a_gap_or_of_another_life_tells_nothing)
{
    const std::vector<platform::change> changes{{make_entry(1, 12), false}};
    const pvt::feed_position up_to{"leader/1", 12};
    cr_assert_not(pvt::take_push({"leader/1", 10}, up_to, changes));
    cr_assert_not(pvt::take_push({"leader/1", 12}, up_to, changes));
    cr_assert_not(pvt::take_push({"leader/1", 13}, up_to, changes));
    cr_assert_not(pvt::take_push({"old-leader/1", 11}, up_to, changes));
    cr_assert_not(pvt::take_push({"leader/1", 11}, up_to, {}));
}


Test(host_exchange, an_answer_comes_back_as_it_was)
{
    const pvt::feed_answer sent{
        {"heredia-1/7", 12}, {3, 63}, {{make_entry(1, 3), false}}};
    const auto got = pvt::parse_feed_answer(pvt::to_text(sent));
    cr_assert(got.has_value());
    cr_assert(got->position_ == sent.position_);
    cr_assert(got->whole_parts_ == sent.whole_parts_);
    cr_assert(got->changes_ == sent.changes_);
    cr_assert_not(pvt::parse_feed_answer("{}").has_value());
}
