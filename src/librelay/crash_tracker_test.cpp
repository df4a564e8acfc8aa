#include <monsoondock/relay/crash_tracker.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};

} // namespace

Test(crash_tracker, counts_crashed_upstreams_not_reports)
{
    relay::crash_tracker tracker;
    tracker.add({7, {"a"}, false}, start);
    tracker.add({7, {"a"}, false}, start);
    tracker.add({7, {"b"}, false}, start);
    cr_assert_eq(tracker.crash_count(7, start), 2);
    cr_assert_eq(tracker.crash_count(8, start), 0);
}


Test(crash_tracker, reports_expire_after_the_retention)
{
    relay::crash_tracker tracker;
    tracker.add({7, {"a"}, false}, start);
    cr_assert_eq(
        tracker.crash_count(7, start + relay::crash_tracker::retention + 1s),
        0);
}


Test(crash_tracker, tracks_a_bounded_number_of_requests)
{
    relay::crash_tracker tracker;
    for (std::uint64_t i = 0; i <= relay::crash_tracker::max_entries; ++i)
        tracker.add({i, {"a"}, false}, start);
    cr_assert_eq(
        tracker.crash_count(relay::crash_tracker::max_entries, start), 1);
}


// Guards against refusing a harmless request. Found by the soak test with seeds
// 22 and 24: many callers send the same request, and when upstreams that
// process it fail for other reasons, all of these callers were refused.
Test(crash_tracker, a_complete_response_clears_a_request)
{
    relay::crash_tracker tracker;
    tracker.add({7, {"a"}, false}, start);
    cr_assert(tracker.mark_completed(7, start));
    cr_assert_not(tracker.mark_completed(7, start));
    tracker.add({7, {"b"}, false}, start);
    tracker.add({7, {"c"}, false}, start);
    cr_assert_eq(tracker.crash_count(7, start), 0);
}


// Guards against refusing requests that have been served all the time because
// three upstreams were lost before the next one was completed. Found by the
// soak test with seeds 1, 3, 5 and 6 of 10 s: all callers were refused for
// good.
Test(crash_tracker, a_request_that_was_completed_lately_is_not_suspected)
{
    relay::crash_tracker tracker;
    cr_assert_not(tracker.mark_completed(7, start));
    const base::time_point later =
        start + relay::crash_tracker::completion_memory;
    for (const char* host : {"a", "b", "c"})
        tracker.add({7, {host}, false}, later - 1s);
    cr_assert_eq(tracker.crash_count(7, later), 0);
    const base::time_point much_later =
        later + relay::crash_tracker::completion_memory;
    tracker.add({7, {"a"}, false}, much_later);
    cr_assert_eq(tracker.crash_count(7, much_later), 1);
}


Test(crash_tracker, a_peer_can_report_a_completed_request)
{
    relay::crash_tracker tracker;
    tracker.add({7, {"a"}, false}, start);
    tracker.add({7, {}, true}, start);
    cr_assert_eq(tracker.crash_count(7, start), 0);
    cr_assert_not(tracker.mark_completed(8, start));
}
