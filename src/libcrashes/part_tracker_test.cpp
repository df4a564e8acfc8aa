#include <monsoondock/crashes/part_tracker.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::crashes;
using namespace std::chrono_literals;

namespace {

constexpr prompt_part common = 1;
constexpr prompt_part bad = 2;
constexpr prompt_part sound = 3;
constexpr std::uint64_t healthy_host = 1000;
const base::time_point start{1000s};


// Returns a tracker that has seen some requests with a common part completed.
part_tracker make_tracker()
{
    part_tracker tracker;
    for (std::size_t i = 0; i < part_tracker::min_contrast; ++i)
        tracker.add_completion({common}, healthy_host, start - 1s);
    return tracker;
}


// Adds crashes of different hosts under different requests. Returns the number
// of the crash that put a part in quarantine, 0 if none did.
int crash_until_quarantined(
    part_tracker& tracker,
    const std::vector<prompt_part>& parts,
    int most,
    bool begun = true)
{
    for (int i = 1; i <= most; ++i) {
        const part_crash crash{
            parts,
            static_cast<std::uint64_t>(i),
            static_cast<std::uint64_t>(100 + i),
            begun};
        tracker.add_crash(crash, 0ms, start);
        if (tracker.find_quarantined(parts, start))
            return i;
    }
    return 0;
}

} // namespace

Test(part_tracker, quarantines_the_part_that_all_lost_requests_share)
{
    part_tracker tracker = make_tracker();
    cr_assert_eq(crash_until_quarantined(tracker, {common, bad}, 9), 3);
    cr_assert_eq(tracker.find_quarantined({common, bad}, start), bad);
    cr_assert_not(tracker.find_quarantined({common, sound}, start));
}


Test(part_tracker, needs_more_crashes_when_no_response_began)
{
    part_tracker tracker = make_tracker();
    cr_assert_eq(crash_until_quarantined(tracker, {bad}, 9, false), 5);
}


Test(part_tracker, counts_hosts_and_requests_once)
{
    part_tracker tracker = make_tracker();
    for (int i = 0; i < 9; ++i) {
        tracker.add_crash(
            {{bad}, 1, static_cast<std::uint64_t>(i), true}, 0ms, start);
        tracker.add_crash(
            {{sound}, static_cast<std::uint64_t>(i), 1, true}, 0ms, start);
    }
    cr_assert_not(tracker.find_quarantined({bad, sound}, start));
}


// Guards against rejecting all requests when a fault ends most hosts at once
// before any request was completed, as after a restart of all daemons.
Test(part_tracker, does_not_blame_what_all_requests_share)
{
    part_tracker tracker;
    cr_assert_eq(crash_until_quarantined(tracker, {common, sound}, 40), 0);
}


Test(part_tracker, a_completed_request_clears_its_parts)
{
    part_tracker tracker = make_tracker();
    tracker.add_completion({sound}, healthy_host, start - 1s);
    cr_assert_eq(crash_until_quarantined(tracker, {sound}, 40), 0);
    crash_until_quarantined(tracker, {bad}, 3);
    cr_assert(tracker.find_quarantined({bad}, start));
    tracker.add_completion({bad}, healthy_host, start);
    tracker.take_report(start + part_tracker::survival_delay);
    cr_assert_not(
        tracker.find_quarantined({bad}, start + part_tracker::survival_delay));
}


// Guards against blaming the parts of all requests as soon as some are
// completed after a time in which hosts were lost and nothing was. Found by the
// soak test with seed 15 of 6 s.
Test(part_tracker, losses_while_nothing_was_completed_do_not_count)
{
    part_tracker tracker;
    crash_until_quarantined(tracker, {sound}, 9);
    for (std::size_t i = 0; i < part_tracker::min_contrast; ++i)
        tracker.add_completion({common}, healthy_host, start);
    tracker.take_report(start);
    cr_assert_not(tracker.find_quarantined({sound}, start));
}


// A short response may be complete before the crash that it causes.
// Guards against blaming the parts of requests that were lost while nothing was
// completed at a daemon that learns of the losses later, when others are.
Test(part_tracker, earlier_losses_blame_nothing_at_a_daemon_that_was_started)
{
    part_tracker tracker;
    for (std::size_t i = 0; i < part_tracker::min_contrast; ++i)
        tracker.add_completion({common}, healthy_host, start);
    part_report state;
    for (std::uint64_t i = 0; i < 9; ++i)
        state.crashes_.push_back({sound, i, 100 + i, true, 7s});
    tracker.apply(state, 0ms, start + 1s);
    cr_assert_not(tracker.find_quarantined({sound}, start + 1s));
}


Test(part_tracker, a_response_just_before_the_crash_clears_nothing)
{
    part_tracker tracker = make_tracker();
    for (std::uint64_t i = 0; i < 3; ++i) {
        const base::time_point now = start + i * 100ms;
        tracker.add_completion({bad}, i, now);
        tracker.add_crash({{bad}, i, 100 + i, true}, 0ms, now + 50ms);
    }
    cr_assert(tracker.find_quarantined({bad}, start + 400ms));
}


Test(part_tracker, peers_are_told_of_a_survivor_once)
{
    part_tracker tracker = make_tracker();
    tracker.add_crash({{common}, 1, 1, true}, 100ms, start);
    cr_assert(tracker.take_report(start).empty());
    cr_assert_eq(tracker.take_report(start + 100ms).survivors_.size(), 1);
    tracker.add_crash({{common}, 2, 2, true}, 0ms, start + 200ms);
    cr_assert(tracker.take_report(start + 300ms).empty());
}


Test(part_tracker, another_announcement_makes_the_own_one_needless)
{
    part_tracker tracker = make_tracker();
    tracker.add_crash({{common}, 1, 1, true}, 100ms, start);
    tracker.apply({{}, {}, {common}}, 0ms, start + 50ms);
    cr_assert(tracker.take_report(start + 100ms).empty());
}


Test(part_tracker, a_quarantine_spreads_and_ends_for_all_at_the_same_time)
{
    part_tracker first = make_tracker();
    crash_until_quarantined(first, {bad}, 3);
    part_tracker second;
    second.apply(first.state(start + 1min), 0ms, start + 1min);
    cr_assert_eq(second.take_quarantined().size(), 1);
    second.apply(first.state(start + 2min), 0ms, start + 2min);
    cr_assert(second.take_quarantined().empty());
    const base::time_point end = start + part_tracker::quarantine_time;
    cr_assert(second.find_quarantined({bad}, end - 1ms));
    cr_assert_not(second.find_quarantined({bad}, end));
}


Test(part_tracker, a_daemon_learns_earlier_crashes_from_the_state_of_another)
{
    part_tracker first = make_tracker();
    crash_until_quarantined(first, {bad}, 2);
    part_tracker second = make_tracker();
    for (int i = 0; i < 3; ++i)
        second.apply(first.state(start), 0ms, start);
    cr_assert_not(second.find_quarantined({bad}, start));
    second.add_crash({{bad}, 50, 50, true}, 0ms, start);
    cr_assert(second.find_quarantined({bad}, start));
}


// Daemons send each other what they have heard from each other.
Test(part_tracker, crashes_expire_although_they_are_repeated)
{
    part_tracker first = make_tracker();
    part_tracker second = make_tracker();
    crash_until_quarantined(first, {bad}, 2);
    base::time_point now = start;
    for (; now <= start + part_tracker::crash_memory; now += 1s) {
        second.apply(first.state(now), 0ms, now);
        first.apply(second.state(now), 0ms, now);
    }
    cr_assert(first.state(now).empty());
    cr_assert(second.state(now).empty());
}


Test(part_tracker, peers_are_told_of_a_quarantine_unless_another_has_done_so)
{
    part_tracker first = make_tracker();
    for (std::uint64_t i = 0; i < 3; ++i)
        first.add_crash({{bad}, i, i, true}, 100ms, start);
    part_tracker second = first;
    cr_assert_eq(first.take_report(start + 100ms).quarantined_.size(), 1);
    second.apply(first.state(start), 100ms, start);
    cr_assert(second.take_report(start + 100ms).empty());
}


Test(part_tracker, one_crash_after_the_quarantine_begins_another)
{
    part_tracker tracker = make_tracker();
    crash_until_quarantined(tracker, {bad}, 3);
    const base::time_point end = start + part_tracker::quarantine_time;
    cr_assert_not(tracker.find_quarantined({bad}, end));
    tracker.add_crash({{bad}, 50, 50, true}, 0ms, end);
    cr_assert(tracker.find_quarantined({bad}, end));
}


Test(part_tracker, a_request_is_reported_with_its_suspected_parts_only)
{
    part_tracker tracker = make_tracker();
    const part_report report =
        tracker.add_crash({{common, bad}, 1, 1, true}, 0ms, start);
    cr_assert_eq(report.crashes_.size(), 1);
    cr_assert_eq(report.crashes_.front().part_, bad);
}


Test(part_tracker, memory_is_bounded_and_quarantined_parts_are_kept)
{
    part_tracker tracker = make_tracker();
    crash_until_quarantined(tracker, {bad}, 3);
    for (prompt_part i = 0; i < 3 * part_tracker::max_suspects; ++i)
        tracker.add_crash({{100 + i}, i, i, true}, 0ms, start);
    cr_assert(tracker.find_quarantined({bad}, start));
}
