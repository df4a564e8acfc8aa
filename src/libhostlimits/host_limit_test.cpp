#include <monsoondock/hostlimits/host_limit.hpp>

#include <criterion/criterion.h>

#include <string>

using namespace monsoondock;
using namespace monsoondock::hostlimits;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};


host_limit make_limit(double per_second, double share)
{
    host_limit limit;
    state_limit(limit, per_second, start);
    set_share(limit, share, start);
    return limit;
}

} // namespace

Test(host_limit, parses_decimal_numbers)
{
    cr_assert_eq(parse_limit("1.5"), 1.5);
    cr_assert_eq(parse_limit("0"), min_limit_per_second);
    cr_assert_eq(parse_limit("99999999"), max_limit_per_second);
    for (const char* text : {"", "x", "1.5x", "-1", "nan", "inf"})
        cr_assert_not(parse_limit(text), "%s", text);
}


Test(host_limit, requests_are_spaced_by_the_share)
{
    host_limit limit = make_limit(4, 2);
    cr_assert_not(may_send(limit, start));
    cr_assert(next_send(limit, start) == start + 500ms);
    cr_assert(may_send(limit, start + 500ms));
    record_send(limit, start + 500ms);
    cr_assert_not(may_send(limit, start + 999ms));
    cr_assert(may_send(limit, start + 1000ms));
}


Test(host_limit, unused_requests_do_not_add_up)
{
    host_limit limit = make_limit(4, 2);
    record_send(limit, start + 20s);
    cr_assert_not(may_send(limit, start + 20s));
}


Test(host_limit, a_daemon_without_a_share_sends_nothing)
{
    const host_limit limit = make_limit(4, 0);
    cr_assert_not(may_send(limit, start + 20s));
    cr_assert_not(next_send(limit, start + 20s));
}


Test(host_limit, the_latest_statement_counts)
{
    host_limit limit = make_limit(4, 2);
    cr_assert_not(state_limit(limit, 0, start - 1s));
    cr_assert(is_limited(limit, start));
    cr_assert(state_limit(limit, 0, start + 1s));
    cr_assert(may_send(limit, start + 1s));
}


Test(host_limit, a_limit_that_nobody_repeats_is_forgotten)
{
    const host_limit limit = make_limit(4, 0);
    cr_assert(may_send(limit, start + limit_memory));
}


Test(host_limit, shares_add_up_to_the_limit)
{
    for (const std::size_t daemons : {1U, 4U, 91U, 466U}) {
        for (const double per_second : {0.3, 1.5, 20.0, 900.0}) {
            std::vector<base::daemon_id> all;
            for (std::size_t i = 0; i < daemons; ++i)
                all.push_back({"d" + std::to_string(i)});
            double sum = 0;
            std::size_t sharing = 0;
            for (const base::daemon_id& self : all) {
                std::vector<base::daemon_id> others = all;
                std::erase(others, self);
                const double share =
                    share_of_limit(per_second, {"h"}, self, others);
                sum += share;
                sharing += share > 0 ? 1 : 0;
            }
            cr_assert_float_eq(sum, per_second, 0.000001);
            cr_assert_eq(sharing, sharing_daemons(per_second, daemons));
        }
    }
}


// Guards against a burst to a host that has just become cold, and against a
// limit that outlasts its end.
Test(host_limit, a_limit_with_an_end_begins_without_a_request_to_spare)
{
    host_limit limit;
    limit_until(limit, 8, start + 2s, start);
    set_share(limit, 2, start);
    cr_assert_not(may_send(limit, start));
    cr_assert(next_send(limit, start) == start + 500ms);
    cr_assert(is_limited(limit, start + 1999ms));
    cr_assert_not(is_limited(limit, start + 2s));
    cr_assert(may_send(limit, start + 2s));
}


// Guards against requests that become possible by repeated writes of an entry.
Test(host_limit, a_new_end_keeps_what_has_been_sent)
{
    host_limit limit;
    limit_until(limit, 8, start + 2s, start);
    set_share(limit, 2, start);
    record_send(limit, start + 500ms);
    limit_until(limit, 8, start + 5s, start + 500ms);
    cr_assert_not(may_send(limit, start + 900ms));
    cr_assert(may_send(limit, start + 1s));
    cr_assert(is_limited(limit, start + 4s));
}


// Guards against a share that grows as other daemons become unknown.
Test(host_limit, the_share_in_the_limit_of_a_cold_host_ignores_their_number)
{
    const double alone = share_of_cold_limit(23, {"h"}, {"a"}, {});
    const double of_three =
        share_of_cold_limit(23, {"h"}, {"a"}, {{"b"}, {"c"}});
    cr_assert_float_eq(alone, of_three, 1e-9);
    cr_assert_float_eq(alone, 23.0 / 7, 1e-9);
}
