#include "load_exchange.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;
using namespace std::chrono_literals;

namespace {

const base::time_point start{std::chrono::seconds(100)};

} // namespace

Test(load_exchange, sums_daemons_and_data_centres_separately)
{
    pvt::load_exchange e;
    e.set_daemon({"a"}, {{{"h1"}, 2}, {{"h2"}, 1}}, start);
    e.set_daemon({"b"}, {{{"h1"}, 3}}, start);
    e.set_data_centre({"cartago"}, {{{"h1"}, 7}}, start);
    e.set_data_centre({"alajuela"}, {{{"h1"}, 1}, {{"h3"}, 4}}, start);
    const pvt::load_table own{{{"h1"}, 5}, {{"h2"}, 1}};
    const pvt::load_table others{{{"h1"}, 8}, {{"h3"}, 4}};
    cr_assert(e.own_sum(start) == own);
    cr_assert(e.other_sum(start) == others);
}


Test(load_exchange, a_report_replaces_the_previous_one)
{
    pvt::load_exchange e;
    e.set_daemon({"a"}, {{{"h1"}, 2}}, start);
    e.set_daemon({"a"}, {{{"h2"}, 1}}, start + 100ms);
    const pvt::load_table own{{{"h2"}, 1}};
    cr_assert(e.own_sum(start + 100ms) == own);
}


Test(load_exchange, reports_of_a_lost_daemon_or_relay_expire)
{
    pvt::load_exchange e;
    e.set_daemon({"a"}, {{{"h1"}, 2}}, start);
    e.set_data_centre({"cartago"}, {{{"h1"}, 7}}, start);
    const auto late = start + pvt::load_exchange::retention + 1ms;
    cr_assert(e.own_sum(late).empty());
    cr_assert(e.other_sum(late).empty());
}


Test(load_exchange, own_reports_are_taken_out_of_a_sum)
{
    const pvt::load_table expected{{{"h1"}, 3}, {{"h3"}, 1}};
    cr_assert(
        pvt::subtract(
            {{{"h1"}, 5}, {{"h2"}, 1}, {{"h3"}, 1}},
            {{{"h1"}, 2}, {{"h2"}, 4}, {{"h9"}, 1}}) == expected);
}
