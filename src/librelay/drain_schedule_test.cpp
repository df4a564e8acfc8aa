#include <monsoondock/relay/drain_schedule.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace std::chrono_literals;

using relay::acceptance;
using relay::assess;

namespace {

const base::time_point start{1000s};
const relay::drain_schedule schedule{start + 2s, start + 7s};
const relay::drain_schedule covering{start + 2s, start + 7s, start + 5s};


bool accepts(
    const relay::drain_schedule& s,
    base::time_point now,
    const relay::response_end& end)
{
    return assess(s, now, end) != acceptance::rejected;
}

} // namespace


// A stream that was accepted 3.2 s after SIGTERM was cut at the end of the
// grace period.
Test(drain_schedule, late_request_that_may_outlast_the_daemon_is_rejected)
{
    cr_assert_not(
        accepts(schedule, start + 3s, {start + 11s, start + 4s, start + 11s}));
}


// A request of a caller that could not know of the shutdown was accepted though
// it was sure to be cut.
Test(drain_schedule, request_that_is_expected_to_outlast_the_daemon_is_rejected)
{
    cr_assert_not(
        accepts(schedule, start, {start + 8s, start + 8s, start + 8s}));
}


Test(drain_schedule, request_that_is_expected_to_end_in_time_is_accepted)
{
    cr_assert(
        accepts(schedule, start + 1s, {start + 9s, start + 6s, start + 9s}));
}


Test(drain_schedule, late_request_that_is_due_in_time_is_accepted)
{
    cr_assert(accepts(
        schedule,
        start + 5s,
        {start + 6500ms, start + 6500ms, start + 6500ms}));
}


// While no daemon was ready, requests that take a second were rejected from
// 2.3 s after SIGTERM on.
Test(drain_schedule, daemon_that_covers_for_others_accepts_what_it_can_finish)
{
    const relay::response_end end{start + 11s, start + 4s, start + 6s};
    cr_assert_not(accepts(schedule, start + 3s, end));
    cr_assert(accepts(covering, start + 3s, end));
    cr_assert_not(accepts(covering, start + 5s, end));
}


// A stream that was expected to end 3.8 s after it was accepted took longer,
// and was cut at the end of the grace period.
Test(drain_schedule, daemon_that_covers_for_others_does_not_trust_estimates)
{
    cr_assert_not(
        accepts(covering, start + 3s, {start + 11s, start + 4s, start + 8s}));
}
