#include "pace_exchange.hpp"

#include <criterion/criterion.h>

#include <limits>

using namespace monsoondock;
using namespace monsoondock::entry;
using namespace std::chrono_literals;

namespace {

const base::time_point start{std::chrono::seconds(100)};


hostpace::pace_report
make_report(const std::string& host, double observed, double expected)
{
    hostpace::pace_report r{{host}, 1, {}};
    r.sums_.levels_[2] = {observed, expected};
    return r;
}

} // namespace

Test(pace_exchange, sums_daemons_and_data_centres_separately)
{
    pvt::pace_exchange e;
    e.set_daemon({"a"}, {make_report("h1", 300, 100)}, start);
    e.set_daemon(
        {"b"}, {make_report("h1", 100, 50), make_report("h2", 9, 9)}, start);
    e.set_data_centre({"cartago"}, {make_report("h1", 70, 20)}, start);
    const pvt::pace_reports own{
        make_report("h1", 400, 150), make_report("h2", 9, 9)};
    const pvt::pace_reports others{make_report("h1", 70, 20)};
    cr_assert(e.own_sum(start) == own);
    cr_assert(e.other_sum(start) == others);
}


// Evidence that waits at a relay must not count as new when it is sent on.
Test(pace_exchange, evidence_ages_and_is_dropped)
{
    pvt::pace_exchange e;
    e.set_daemon({"a"}, {make_report("h", 300, 100)}, start);
    const auto later = e.own_sum(start + 1s);
    cr_assert_lt(later.at(0).sums_.levels_[2].observed_ms_, 150);
    cr_assert(e.own_sum(start + 3s).empty());
}


Test(pace_exchange, processes_of_a_host_are_not_mixed)
{
    pvt::pace_exchange e;
    hostpace::pace_report restarted = make_report("h", 20, 20);
    restarted.process_start_ms_ = 2;
    e.set_daemon({"a"}, {make_report("h", 300, 100)}, start);
    e.set_daemon({"b"}, {restarted}, start);
    cr_assert_eq(e.own_sum(start).size(), 2);
}


// A peer with a fault must not change where requests go.
Test(pace_exchange, unusable_reports_are_removed)
{
    pvt::pace_reports reports{
        make_report("a", 300, 100),
        make_report("b", std::numeric_limits<double>::quiet_NaN(), 100),
        make_report("c", 300, std::numeric_limits<double>::infinity()),
        make_report("d", -1, 100),
        make_report("e", 300, 0),
        make_report("", 300, 100)};
    cr_assert_eq(pvt::remove_unusable(reports), 5);
    cr_assert_eq(reports.size(), 1);
    cr_assert(reports.at(0).host_.value_ == "a");
}
