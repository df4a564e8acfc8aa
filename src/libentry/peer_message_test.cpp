#include "peer_message.hpp"

#include <monsoondock/crashes/part_tracker.hpp>

#include <criterion/criterion.h>

namespace pvt = monsoondock::entry::pvt;

Test(peer_message, load_round_trip)
{
    const pvt::load_message sent{{"heredia-1"}, {{{"a"}, 3}, {{"b"}, 1}}};
    const auto got = pvt::decode(pvt::encode(sent));
    cr_assert(got.has_value());
    const auto& m = std::get<pvt::load_message>(*got);
    cr_assert(m.sender_ == sent.sender_);
    cr_assert(m.loads_ == sent.loads_);
}


Test(peer_message, heartbeat_round_trip_keeps_term)
{
    const auto got =
        pvt::decode(pvt::encode(pvt::leader_heartbeat{{"x"}, 7, {}, {}}));
    cr_assert_eq(std::get<pvt::leader_heartbeat>(*got).term_, 7);
}


Test(peer_message, questions_about_hosts_round_trip)
{
    const auto query =
        pvt::decode(pvt::encode(pvt::host_query_message{7, {"h"}}));
    cr_assert_eq(std::get<pvt::host_query_message>(*query).number_, 7);
    cr_assert_eq(std::get<pvt::host_query_message>(*query).host_.value_, "h");
    const auto finding = pvt::decode(pvt::encode(pvt::host_finding_message{
        7, monsoondock::paths::peer_finding::not_reached}));
    cr_assert_eq(
        std::get<pvt::host_finding_message>(*finding).finding_,
        monsoondock::paths::peer_finding::not_reached);
    const auto check =
        pvt::decode(pvt::encode(pvt::group_check_message{{"h"}}));
    cr_assert_eq(std::get<pvt::group_check_message>(*check).head_.value_, "h");
}


// As stated in docs/CAPACITY.md.
Test(peer_message, questions_about_hosts_are_small)
{
    const monsoondock::base::host_id host{"i-0123456789"};
    cr_assert_eq(pvt::encode(pvt::host_query_message{7, host}).size(), 26);
    cr_assert_eq(pvt::encode(pvt::host_finding_message{}).size(), 11);
    cr_assert_eq(pvt::encode(pvt::group_check_message{host}).size(), 18);
}


Test(peer_message, host_changes_round_trip)
{
    const pvt::host_changes_message sent{
        7,
        {"heredia-1.7", 12},
        {{{"hosts/a", {3}, "{}"}, false}, {{"hosts/b", {4}, ""}, true}}};
    const auto got = pvt::decode(pvt::encode(sent));
    cr_assert(got.has_value());
    const auto& m = std::get<pvt::host_changes_message>(*got);
    cr_assert_eq(m.term_, 7);
    cr_assert(m.position_ == sent.position_);
    cr_assert(m.changes_ == sent.changes_);
}


Test(peer_message, part_report_round_trip)
{
    const pvt::part_report_message sent{
        {{{2, std::chrono::milliseconds(500)}},
         {{3, 4, 5, true, std::chrono::milliseconds(20)}},
         {6, 7}}};
    const auto got = pvt::decode(pvt::encode(sent));
    cr_assert(got.has_value());
    cr_assert(std::get<pvt::part_report_message>(*got).report_ == sent.report_);
}


// What a daemon sends about crashing parts: a report for each lost request, and
// its state once a second, as stated in docs/design/platform.md.
Test(peer_message, part_reports_are_small)
{
    pvt::part_report_message report;
    report.report_.crashes_.resize(1);
    cr_assert_leq(pvt::encode(report).size(), 64);
    report.report_.crashes_.resize(
        monsoondock::crashes::part_tracker::max_reported_crashes);
    report.report_.quarantined_.resize(32);
    cr_assert_leq(pvt::encode(report).size(), 3000);
}


Test(peer_message, host_limits_round_trip)
{
    const pvt::host_limits_message sent{
        {{{"h"}, 7, 1.5, std::chrono::milliseconds(20)}}};
    const std::string bytes = pvt::encode(sent);
    const auto got = pvt::decode(bytes);
    cr_assert(got.has_value());
    cr_assert(std::get<pvt::host_limits_message>(*got).limits_ == sent.limits_);
    // As stated in docs/design/platform.md, with a name of 13 bytes.
    cr_assert_leq(bytes.size() + 12, 48);
}


Test(peer_message, evacuations_round_trip)
{
    const pvt::evacuations_message sent{{{7, 2}, {{"heredia"}, {"vatva"}}}};
    const std::string bytes = pvt::encode(sent);
    const auto got = pvt::decode(bytes);
    cr_assert(got.has_value());
    cr_assert(std::get<pvt::evacuations_message>(*got).set_ == sent.set_);
    // As stated in docs/design/evacuations.md.
    cr_assert_eq(bytes.size(), 42);
}


// Guards against a change of the codes by which daemons of other builds know
// the messages.
Test(peer_message, evacuations_have_the_code_after_the_earlier_messages)
{
    // The first byte tells the byte order.
    cr_assert_eq(pvt::encode(pvt::evacuations_message{})[1], 20);
    cr_assert_eq(pvt::encode(pvt::group_check_message{})[1], 19);
}


// Guards against dropping all evacuations because there are more entries than
// data centres.
Test(peer_message, the_largest_set_of_evacuations_fits_a_datagram)
{
    pvt::evacuations_message sent;
    for (std::size_t i = 0; i < pvt::max_sent_evacuations; ++i) {
        std::string name(pvt::max_data_centre_name_bytes, 'x');
        name.replace(0, 4, std::to_string(1000 + i));
        sent.set_.data_centres_.insert({name});
    }
    const std::string bytes =
        pvt::encode(pvt::forwarded_message{pvt::encode(sent)});
    cr_assert_lt(bytes.size(), 65000);
    const auto outer = pvt::decode(bytes);
    const auto inner =
        pvt::decode(std::get<pvt::forwarded_message>(*outer).body_);
    cr_assert(std::get<pvt::evacuations_message>(*inner).set_ == sent.set_);
}


Test(peer_message, truncated_or_unknown_messages_are_rejected)
{
    const std::string bytes =
        pvt::encode(pvt::upstream_suspected_message{{"h"}, {"m"}});
    for (std::size_t n = 0; n < bytes.size(); ++n)
        cr_assert_not(pvt::decode(bytes.substr(0, n)).has_value());
    cr_assert_not(pvt::decode(std::string("\x01\x7f", 2)).has_value());
}


Test(peer_message, unreachable_message_round_trip)
{
    const auto lost =
        pvt::decode(pvt::encode(pvt::host_unreachable_message{{"h"}}));
    cr_assert(
        std::get<pvt::host_unreachable_message>(*lost).host_.value_ == "h");
}


Test(peer_message, leaving_message_round_trip)
{
    const auto got =
        pvt::decode(pvt::encode(pvt::host_leaving_message{{"h"}, 42}));
    const auto& m = std::get<pvt::host_leaving_message>(*got);
    cr_assert(m.host_.value_ == "h");
    cr_assert_eq(m.process_start_ms_, 42);
}


Test(peer_message, load_sums_round_trip)
{
    const pvt::load_sum_message sent{{{{"a"}, 3}}, {{{"a"}, 2}, {{"b"}, 9}}};
    const auto got = pvt::decode(pvt::encode(sent));
    cr_assert(got.has_value());
    const auto& m = std::get<pvt::load_sum_message>(*got);
    cr_assert(m.own_data_centre_ == sent.own_data_centre_);
    cr_assert(m.other_data_centres_ == sent.other_data_centres_);
    const auto sum = pvt::decode(
        pvt::encode(pvt::data_centre_load_message{{"heredia"}, {{{"a"}, 4}}}));
    const auto& s = std::get<pvt::data_centre_load_message>(*sum);
    cr_assert(s.data_centre_.value_ == "heredia");
    cr_assert_eq(s.loads_.at({"a"}), 4);
}


Test(peer_message, forwarded_message_round_trip)
{
    const std::string body =
        pvt::encode(pvt::upstream_suspected_message{{"h"}, {"m"}});
    const auto got = pvt::decode(pvt::encode(pvt::forwarded_message{body}));
    cr_assert(got.has_value());
    cr_assert(std::get<pvt::forwarded_message>(*got).body_ == body);
}


Test(peer_message, host_paces_round_trip)
{
    pvt::host_pace_message sent{
        pvt::pace_scope::data_centre, "heredia", {{{"h"}, 7, {}}}};
    sent.reports_[0].sums_.levels_[1] = {300, 75};
    sent.reports_[0].sums_.levels_[3] = {0.5, 0.25};
    const std::string bytes = pvt::encode(sent);
    const auto got = pvt::decode(bytes);
    cr_assert(got.has_value());
    const auto& m = std::get<pvt::host_pace_message>(*got);
    cr_assert(m.scope_ == sent.scope_);
    cr_assert(m.source_ == sent.source_);
    cr_assert(m.reports_ == sent.reports_);
    for (std::size_t n = 0; n < bytes.size(); ++n)
        cr_assert_not(pvt::decode(bytes.substr(0, n)).has_value());
    // As stated in docs/design/learned-capacity.md, with a name of 13 bytes and
    // evidence at two levels.
    cr_assert_leq(bytes.size() + 12, 63);
}


// Daemons of earlier builds know the messages by these numbers.
Test(peer_message, type_codes_are_stable)
{
    const auto code = [](const pvt::peer_message& m) {
        return m.index();
    };
    cr_assert_eq(code(pvt::membership_message{}), 0);
    cr_assert_eq(code(pvt::load_message{}), 4);
    cr_assert_eq(code(pvt::host_limits_message{}), 16);
    cr_assert_eq(code(pvt::group_check_message{}), 19);
}
