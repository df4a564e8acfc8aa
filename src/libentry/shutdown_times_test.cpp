#include "shutdown_times.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry::pvt;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};

} // namespace


// Where callers keep addresses for longer than 3 s, a request that came later
// was accepted for its expected end, and could be cut.
Test(shutdown_times, later_requests_are_not_accepted_on_an_estimate)
{
    for (const auto lifetime : {2300ms, 5300ms, 60000ms}) {
        const auto schedule = plan_shutdown(start, 60s, lifetime);
        cr_assert(schedule.accept_until_ < start + 3s);
        cr_assert(
            relay::assess(
                schedule, start + 3s, {start + 61s, start + 3001ms}) ==
            relay::acceptance::rejected);
    }
    cr_assert(plan_shutdown(start, 8s, 2300ms).accept_until_ == start + 2300ms);
}


// With a grace period below 2.4 s, requests were aborted before its last sixth.
Test(shutdown_times, requests_are_aborted_in_the_last_sixth_of_the_grace_period)
{
    for (const auto grace : {1000ms, 2000ms, 2400ms, 8000ms, 60000ms}) {
        const auto schedule = plan_shutdown(start, grace, 2300ms);
        cr_assert(schedule.exit_at_ >= start + grace * 5 / 6);
        cr_assert(schedule.exit_at_ < start + grace);
    }
    cr_assert(plan_shutdown(start, 8s, 2300ms).exit_at_ == start + 7600ms);
}
