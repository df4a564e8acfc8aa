#include <monsoondock/relay/drain_schedule.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace std::chrono_literals;

using relay::acceptance;
using relay::assess;

namespace {

const base::time_point start{1000s};
const relay::drain_schedule schedule{start + 2s, start + 7s};

} // namespace


// A stream that was accepted 3.2 s after SIGTERM was cut at the end of the
// grace period.
Test(drain_schedule, late_request_that_may_outlast_the_daemon_is_rejected)
{
    cr_assert(
        assess(schedule, start + 3s, {start + 11s, start + 4s}) ==
        acceptance::rejected);
}


// A stream of half a second was accepted for its estimated end, and was cut as
// its host paused (review/8).
Test(drain_schedule, late_request_is_rejected_however_early_its_expected_end)
{
    cr_assert(
        assess(schedule, start + 3s, {start + 7001ms, start + 3001ms}) ==
        acceptance::rejected);
}


// A request of a caller that could not know of the shutdown was accepted though
// it was sure to be cut.
Test(drain_schedule, request_that_is_expected_to_outlast_the_daemon_is_rejected)
{
    cr_assert(
        assess(schedule, start, {start + 8s, start + 8s}) ==
        acceptance::rejected);
}


Test(drain_schedule, request_that_is_expected_to_end_in_time_is_accepted)
{
    cr_assert(
        assess(schedule, start + 1s, {start + 9s, start + 6s}) ==
        acceptance::expected_in_time);
}


Test(drain_schedule, late_request_that_is_due_in_time_is_accepted)
{
    cr_assert(
        assess(schedule, start + 5s, {start + 6500ms, start + 6500ms}) ==
        acceptance::due_in_time);
}


// While no daemon was ready, rejected callers came back after 50 ms, and were
// rejected for good.
Test(drain_schedule, callers_wait_for_a_daemon_that_is_ready)
{
    const relay::drain_schedule alone{start + 2s, start + 7s, start + 5s};
    cr_assert(relay::others_ready_in(alone, start + 3s) == 2s);
    cr_assert(relay::others_ready_in(alone, start + 4500ms) == 500ms);
}


Test(drain_schedule, callers_go_to_daemons_that_are_ready_at_once)
{
    const relay::drain_schedule covered{start + 2s, start + 7s, start + 5s};
    cr_assert(relay::others_ready_in(covered, start + 6s) == 0ms);
    cr_assert(relay::others_ready_in(schedule, start + 3s) == 0ms);
}
