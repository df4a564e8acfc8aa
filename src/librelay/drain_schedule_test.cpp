#include <monsoondock/relay/drain_schedule.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace std::chrono_literals;

using relay::accepts;

namespace {

const base::time_point start{1000s};
const relay::drain_schedule schedule{start + 2s, start + 7s};

} // namespace


// A stream that was accepted 3.2 s after SIGTERM was cut at the end of the
// grace period.
Test(drain_schedule, late_request_that_may_outlast_the_daemon_is_rejected)
{
    cr_assert_not(accepts(schedule, start + 3s, start + 11s, start + 4s));
}


// A request of a caller that could not know of the shutdown was accepted though
// it was sure to be cut.
Test(drain_schedule, request_that_is_expected_to_outlast_the_daemon_is_rejected)
{
    cr_assert_not(accepts(schedule, start, start + 8s, start + 8s));
}


Test(drain_schedule, request_that_is_expected_to_end_in_time_is_accepted)
{
    cr_assert(accepts(schedule, start + 1s, start + 9s, start + 6s));
}


Test(drain_schedule, late_request_that_is_due_in_time_is_accepted)
{
    cr_assert(accepts(schedule, start + 5s, start + 6500ms, start + 6500ms));
}
