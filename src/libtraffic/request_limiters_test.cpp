#include "request_limiters.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace std::chrono_literals;
using traffic::pvt::request_limiters;

namespace {

traffic::workspace_row row(const char* name, double rate, double burst)
{
    return {base::workspace_id{name}, {}, rate, burst};
}


const base::time_point start = base::time_point(1000s);

} // namespace


Test(request_limiters, admits_the_burst_and_then_the_rate)
{
    request_limiters limiters;
    const auto ledger = row("ledger", 2.0, 3.0);
    for (int i = 0; i < 3; ++i)
        cr_assert(limiters.take(ledger, start) == 0ns);
    cr_assert(limiters.take(ledger, start) == 500ms);
    cr_assert(limiters.take(ledger, start + 499ms) == 1ms);
    cr_assert(limiters.take(ledger, start + 500ms) == 0ns);
    cr_assert(limiters.take(ledger, start + 500ms) == 500ms);
}


Test(request_limiters, keeps_workspaces_apart)
{
    request_limiters limiters;
    cr_assert(limiters.take(row("a", 1.0, 1.0), start) == 0ns);
    cr_assert(limiters.take(row("a", 1.0, 1.0), start) == 1s);
    cr_assert(limiters.take(row("b", 1.0, 1.0), start) == 0ns);
}


Test(request_limiters, follows_the_newest_rate_and_burst)
{
    request_limiters limiters;
    cr_assert(limiters.take(row("a", 1.0, 1.0), start) == 0ns);
    cr_assert(limiters.take(row("a", 10.0, 1.0), start) == 100ms);
    cr_assert(limiters.take(row("a", 10.0, 2.0), start) == 0ns);
    cr_assert(limiters.take(row("a", 10.0, 2.0), start) == 100ms);
}


Test(request_limiters, a_smaller_burst_does_not_block_for_the_larger_one)
{
    request_limiters limiters;
    for (int i = 0; i < 100; ++i)
        cr_assert(limiters.take(row("a", 1.0, 100.0), start) == 0ns);
    cr_assert(limiters.take(row("a", 1.0, 1.0), start) == 1s);
}


Test(request_limiters, a_share_below_one_request_admits_one)
{
    request_limiters limiters;
    cr_assert(limiters.take(row("a", 1.0, 0.25), start) == 0ns);
    cr_assert(limiters.take(row("a", 1.0, 0.25), start) == 1s);
}
