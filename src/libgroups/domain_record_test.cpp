#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/domain_record.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::groups;

namespace {

group_record
make_group(const char* id, std::uint64_t generation, const char* host)
{
    return group_record{
        base::group_id{id},
        base::deployment_id{"copal-llm"},
        {base::host_id{host}},
        base::generation{generation},
        group_phase::forming};
}


domain_record make_record()
{
    domain_record record;
    record.domain_ = base::fabric_domain_id{"heredia-a"};
    record.leader_ = leader_term{3, base::daemon_id{"entry-1"}, 9};
    record.challenged_ = true;
    record.next_generation_ = base::generation{3};
    record.groups_ = {make_group("g1", 1, "h1"), make_group("g2", 2, "h2")};
    return record;
}

} // namespace


Test(domain_record, round_trips_through_json)
{
    const domain_record record = make_record();
    const auto decoded = decode_domain_record(encode(record));
    cr_assert(base::ok(decoded));
    cr_assert(base::value(decoded) == record);
}


Test(domain_record, refuses_malformed_text)
{
    for (const char* text :
         {"",
          "{",
          "[]",
          "{}",
          R"({"domain":7})",
          R"({"domain":"a","term":-1,"leader":"","incarnation":0,)"
          R"("next_generation":1,"groups":[]})"})
        cr_assert(!base::ok(decode_domain_record(text)), "%s", text);
}


Test(domain_checks, refuses_a_host_in_two_groups)
{
    domain_record record = make_record();
    record.groups_[1].hosts_ = record.groups_[0].hosts_;
    cr_assert(check_record(record).has_value());
    cr_assert(!base::ok(decode_domain_record(encode(record))));
    record.groups_[0].phase_ = group_phase::retired;
    cr_assert(!check_record(record).has_value());
}


Test(domain_checks, refuses_a_host_in_two_domains)
{
    domain_record a = make_record();
    domain_record b = make_record();
    b.domain_ = base::fabric_domain_id{"heredia-b"};
    cr_assert(check_domains({a, b}).has_value());
    for (group_record& group : b.groups_)
        group.phase_ = group_phase::retired;
    cr_assert(!check_domains({a, b}).has_value());
}


Test(domain_checks, refuses_reused_and_decreasing_generations)
{
    const domain_record before = make_record();
    domain_record after = before;
    after.groups_.push_back(make_group("g0", 0, "h3"));
    cr_assert(check_change(before, after).has_value());
    after = before;
    after.next_generation_ = base::generation{2};
    cr_assert(check_change(before, after).has_value());
    after = before;
    after.groups_.push_back(make_group("g3", 3, "h3"));
    cr_assert(
        check_record(after).has_value(), "generation 3 is not assigned yet");
    after.next_generation_ = base::generation{4};
    cr_assert(!check_change(before, after).has_value());
}


Test(domain_checks, refuses_changed_and_removed_groups)
{
    const domain_record before = make_record();
    domain_record after = before;
    after.groups_[0].hosts_ = {base::host_id{"h9"}};
    cr_assert(check_change(before, after).has_value());
    after = before;
    after.groups_.pop_back();
    cr_assert(check_change(before, after).has_value());
    after = before;
    after.groups_[0].phase_ = group_phase::retired;
    cr_assert(check_change(before, after).has_value());
    after.groups_[0].phase_ = group_phase::retiring;
    cr_assert(!check_change(before, after).has_value());
}


Test(domain_checks, refuses_two_leaders_in_one_term)
{
    const domain_record before = make_record();
    domain_record after = before;
    after.leader_.daemon_ = base::daemon_id{"entry-2"};
    cr_assert(check_change(before, after).has_value());
    after.leader_.term_ = 4;
    cr_assert(!check_change(before, after).has_value());
    after.leader_.term_ = 2;
    cr_assert(check_change(before, after).has_value());
}
