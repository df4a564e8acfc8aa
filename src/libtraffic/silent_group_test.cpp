#include "server_session_test.hpp"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <thread>

using namespace monsoondock;
using namespace monsoondock::traffic;
using namespace std::chrono_literals;
using test::caller_response;
using test::engine_fault;
using test::server_session;

namespace {

constexpr std::chrono::milliseconds short_idle_timeout =
    test::slow_engine_pause / 6;
// Balance with which the retry budget of a thread starts.
constexpr int saved_retries = 100;


limits with_short_idle_timeout()
{
    limits bounds = test::make_limits();
    bounds.upstream_idle_timeout_ = short_idle_timeout;
    return bounds;
}


// Uses up the retry budget of the server with requests that fail at each group.
void use_up_retries(server_session& r)
{
    r.inject_faults(engine_fault::wrong_request_id, saved_retries);
    for (int i = 0; i < saved_retries; ++i)
        cr_assert_eq(r.complete_chat("p").status_, 503);
    r.inject_faults(engine_fault::none, 0);
}


void assert_whole(const caller_response& answer)
{
    cr_assert_eq(answer.status_, 200);
    cr_assert(answer.complete_);
    cr_assert(answer.text_ == test::expected_answer("p"));
}

} // namespace


// A stream of a slow group was ended before another group was known to be
// there.
Test(silent_group, slow_stream_goes_on_without_another_group)
{
    server_session r(with_short_idle_timeout());
    r.publish(base::time_point::max(), 1);
    r.inject_faults(engine_fault::slow_stream, 1);
    assert_whole(r.complete_chat("p"));
    cr_assert_eq(r.first_.requests(), 1);
}


// The same before the response head, where the caller got 503.
Test(silent_group, slow_response_goes_on_without_another_group)
{
    server_session r(with_short_idle_timeout());
    r.publish(base::time_point::max(), 1);
    r.inject_faults(engine_fault::slow_head, 1);
    assert_whole(r.complete_chat("p"));
    cr_assert_eq(r.first_.requests(), 1);
}


// A stream of a slow group was ended before a retry was granted.
Test(silent_group, slow_stream_goes_on_without_a_retry)
{
    server_session r(with_short_idle_timeout());
    use_up_retries(r);
    const int before = r.first_.requests() + r.second_.requests();
    r.inject_faults(engine_fault::slow_stream, 1);
    assert_whole(r.complete_chat("p"));
    cr_assert_eq(r.first_.requests() + r.second_.requests(), before + 1);
}


// A stream of a slow group was ended after the last attempt that it may have.
Test(silent_group, slow_stream_goes_on_at_every_group)
{
    server_session r(with_short_idle_timeout());
    r.inject_faults(engine_fault::slow_stream, 1);
    assert_whole(r.complete_chat("p"));
}


// Guards against a silent group that keeps a stream although another one could
// go on with it.
Test(silent_group, stalled_stream_moves_to_another_group)
{
    server_session r(with_short_idle_timeout());
    r.publish(base::time_point::max(), 1);
    r.first_.inject_faults(engine_fault::stalled_stream, 1);
    boost::asio::write(
        r.socket_, boost::asio::buffer(server_session::make_chat("p")));
    while (r.first_.requests() == 0)
        std::this_thread::sleep_for(1ms);
    r.publish(base::time_point::max(), 2);
    assert_whole(r.receive());
    cr_assert_eq(r.second_.requests(), 1);
}


// A stream whose group sent a byte now and then was kept there, although
// another group could go on with it.
Test(silent_group, stream_without_events_moves_to_another_group)
{
    limits bounds = test::make_limits();
    // Longer than the bytes of a chunk header take, which end no read, and
    // shorter than those of an event.
    bounds.upstream_idle_timeout_ = 10 * test::trickle_pause;
    server_session r(bounds);
    r.publish(base::time_point::max(), 1);
    r.first_.inject_faults(engine_fault::trickling_stream, 1);
    boost::asio::write(
        r.socket_, boost::asio::buffer(server_session::make_chat("p")));
    while (r.first_.requests() == 0)
        std::this_thread::sleep_for(1ms);
    r.publish(base::time_point::max(), 2);
    assert_whole(r.receive());
    cr_assert_eq(r.second_.requests(), 1);
}


// Guards against waiting for a group of which nobody knows that it is alive.
Test(silent_group, stalled_stream_ends_when_its_group_is_gone)
{
    server_session r(with_short_idle_timeout());
    r.publish(base::time_point::max(), 1);
    r.inject_faults(engine_fault::stalled_stream, 1);
    boost::asio::write(
        r.socket_, boost::asio::buffer(server_session::make_chat("p")));
    while (r.first_.requests() == 0)
        std::this_thread::sleep_for(1ms);
    r.publish(base::time_point::max(), 0);
    cr_assert_not(r.receive().complete_);
}
