#include "peer_message.hpp"

#include <criterion/criterion.h>

namespace pvt = monsoondock::entry::pvt;

Test(peer_message, loads_come_back_as_they_were)
{
    const pvt::loads_message sent{{"heredia-1"}, {{{"a"}, 3}, {{"b"}, 1}}};
    const auto got = pvt::decode(pvt::encode(sent));
    cr_assert(got.has_value());
    const auto& m = std::get<pvt::loads_message>(*got);
    cr_assert(m.sender_ == sent.sender_);
    cr_assert(m.loads_ == sent.loads_);
}


Test(peer_message, a_beat_keeps_its_term)
{
    const auto got =
        pvt::decode(pvt::encode(pvt::leader_beat{{"x"}, 7, {}, {}}));
    cr_assert_eq(std::get<pvt::leader_beat>(*got).term_, 7);
}


Test(peer_message, pushed_changes_come_back_as_they_were)
{
    const pvt::feed_message sent{
        7,
        {"heredia-1.7", 12},
        {{{"hosts/a", {3}, "{}"}, false}, {{"hosts/b", {4}, ""}, true}}};
    const auto got = pvt::decode(pvt::encode(sent));
    cr_assert(got.has_value());
    const auto& m = std::get<pvt::feed_message>(*got);
    cr_assert_eq(m.term_, 7);
    cr_assert(m.position_ == sent.position_);
    cr_assert(m.changes_ == sent.changes_);
}


Test(peer_message, damaged_bytes_are_refused)
{
    const std::string bytes = pvt::encode(pvt::doubt_message{{"h"}, {"m"}});
    for (std::size_t n = 0; n < bytes.size(); ++n)
        cr_assert_not(pvt::decode(bytes.substr(0, n)).has_value());
    cr_assert_not(pvt::decode(std::string("\x01\x7f", 2)).has_value());
}


Test(peer_message, questions_of_reach_come_back_as_they_were)
{
    const auto asked =
        pvt::decode(pvt::encode(pvt::reach_question{{"h"}, "10.0.0.1:80"}));
    cr_assert(std::get<pvt::reach_question>(*asked).address_ == "10.0.0.1:80");
    const auto reached = pvt::decode(pvt::encode(pvt::reached_message{{"h"}}));
    cr_assert(std::get<pvt::reached_message>(*reached).host_.value_ == "h");
    const auto lost = pvt::decode(pvt::encode(pvt::lost_host_message{{"h"}}));
    cr_assert(std::get<pvt::lost_host_message>(*lost).host_.value_ == "h");
}
