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


Test(request_limiters, limits_workspaces_independently)
{
    request_limiters limiters;
    cr_assert(limiters.take(row("a", 1.0, 1.0), start) == 0ns);
    cr_assert(limiters.take(row("a", 1.0, 1.0), start) == 1s);
    cr_assert(limiters.take(row("b", 1.0, 1.0), start) == 0ns);
}


Test(request_limiters, applies_changed_rate_and_burst)
{
    request_limiters limiters;
    cr_assert(limiters.take(row("a", 1.0, 1.0), start) == 0ns);
    cr_assert(limiters.take(row("a", 10.0, 1.0), start) == 100ms);
    cr_assert(limiters.take(row("a", 10.0, 2.0), start) == 0ns);
    cr_assert(limiters.take(row("a", 10.0, 2.0), start) == 100ms);
}


Test(request_limiters, reduced_burst_does_not_extend_the_wait)
{
    request_limiters limiters;
    for (int i = 0; i < 100; ++i)
        cr_assert(limiters.take(row("a", 1.0, 100.0), start) == 0ns);
    cr_assert(limiters.take(row("a", 1.0, 1.0), start) == 1s);
}


Test(request_limiters, burst_below_one_admits_one_request)
{
    request_limiters limiters;
    cr_assert(limiters.take(row("a", 1.0, 0.25), start) == 0ns);
    cr_assert(limiters.take(row("a", 1.0, 0.25), start) == 1s);
}
