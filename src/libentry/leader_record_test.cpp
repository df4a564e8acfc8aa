#include "leader_record.hpp"

#include <criterion/criterion.h>

using namespace monsoondock::entry::pvt;
using namespace std::chrono_literals;

// Guards against losing what is quarantined when all daemons end at once.
Test(leader_record, round_trip_keeps_quarantined_parts)
{
    const leader_record sent{
        "heredia-1", "10.0.0.1:7000", 7, 20001, 5, 2, {{0xbad, 60000ms}}};
    const auto got = parse_record(to_text(sent));
    cr_assert(got.has_value());
    cr_assert(*got == sent);
}


Test(leader_record, records_of_earlier_builds_have_no_parts)
{
    const auto got = parse_record(
        R"({"daemon":"d","term":7,"epochs_below":20001,"stamp":5})");
    cr_assert(got.has_value());
    cr_assert(got->quarantined_.empty());
}


Test(leader_record, malformed_records_are_rejected)
{
    for (const char* text :
         {"",
          "[]",
          "{}",
          R"({"daemon":"d","term":7,"epochs_below":1,"stamp":5,)"
          R"("crashing_parts":[{"part":1}]})"})
        cr_assert_not(parse_record(text), "%s", text);
}
