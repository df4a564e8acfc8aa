#include "send_monitor.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::pvt;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds limit{15000};
const base::time_point start = base::time_point() + 1h;


send_state make_pending(std::uint64_t acknowledged)
{
    send_state s;
    s.acknowledged_bytes_ = acknowledged;
    s.pending_ = true;
    return s;
}

// Checks a connection in the given state for a time, at the usual period.
send_finding check_for(
    send_monitor& m,
    const send_state& s,
    base::time_point& now,
    std::chrono::milliseconds time)
{
    send_finding finding = check_sending(m, s, limit, now);
    for (const auto end = now + time; now < end;) {
        now += send_check_period;
        finding = check_sending(m, s, limit, now);
    }
    return finding;
}

} // namespace


// Guards against cutting readers that read little at a time.
Test(send_monitor, any_byte_read_is_progress)
{
    send_monitor m;
    base::time_point now = start;
    for (std::uint64_t i = 0; i < 20; ++i)
        cr_assert(
            check_for(m, make_pending(i), now, limit - 500ms) ==
            send_finding::reads);
}


Test(send_monitor, reader_without_progress_is_stalled)
{
    send_monitor m;
    base::time_point now = start;
    const send_state s = make_pending(5);
    cr_assert(check_for(m, s, now, limit - 500ms) == send_finding::reads);
    cr_assert(check_for(m, s, now, 500ms) == send_finding::stalled);
}


// Guards against taking a pause in which nothing is sent for a stall.
Test(send_monitor, connection_without_pending_bytes_is_not_stalled)
{
    send_monitor m;
    base::time_point now = start;
    send_state s = make_pending(5);
    s.pending_ = false;
    cr_assert(check_for(m, s, now, 100s) == send_finding::reads);
    s.pending_ = true;
    cr_assert(check_for(m, s, now, 1s) == send_finding::reads);
}


// Guards against blaming a reader for a time in which this process did not run
// or the connection carried nothing.
Test(send_monitor, time_without_checks_is_no_stall)
{
    send_monitor m;
    base::time_point now = start;
    send_state s = make_pending(5);
    check_for(m, s, now, limit - 500ms);
    now += 10s;
    s.retransmitting_ = true;
    s.since_answer_ = 20s;
    cr_assert(check_for(m, s, now, 2s) == send_finding::reads);
}


// A host that has failed is found sooner than a caller that does not read.
Test(send_monitor, end_that_acknowledges_nothing_is_unreachable)
{
    send_monitor m;
    base::time_point now = start;
    send_state s = make_pending(5);
    s.retransmitting_ = true;
    s.since_answer_ = max_answer_time;
    cr_assert(
        check_for(m, s, now, max_answer_time - 500ms) == send_finding::reads);
    cr_assert(check_for(m, s, now, 500ms) == send_finding::unreachable);
}


// An end that answers probes is alive, however little it reads.
Test(send_monitor, end_that_answers_is_reachable)
{
    send_monitor m;
    base::time_point now = start;
    send_state s = make_pending(5);
    s.retransmitting_ = true;
    s.since_answer_ = 400ms;
    cr_assert(check_for(m, s, now, 10s) == send_finding::reads);
}
