#include "proxy_session_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;

using catalog::request_kind;

namespace {

// Beyond the time after which a stream without events is resumed elsewhere.
constexpr std::chrono::milliseconds long_pause{1500};


scripted_response make_slow_stream()
{
    scripted_response r;
    r.pause_ = long_pause;
    return r;
}


scripted_response make_slow_body()
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = "{\"state\":\"ready\"}";
    r.pause_ = long_pause;
    return r;
}


session_options make_options(double retry_slack)
{
    session_options options;
    options.step_ms_ = 1;
    options.target_latency_ = 200ms;
    options.retry_slack_ = retry_slack;
    return options;
}

} // namespace


// A stream whose host was merely slow was cut, because the relay ended it
// before it asked for the retry that was to replace it.
Test(reroute, slow_stream_goes_on_when_no_retry_is_granted)
{
    proxy_session s(
        request_kind::resumable_stream, {make_slow_stream()}, make_options(0));
    const caller_response response = s.call();
    cr_assert(response.complete_);
    cr_assert(response.body_ == make_events(1, 4));
    cr_assert_eq(s.upstream_.requests(), 1);
}


// The same where there is no other host that could take the stream.
Test(reroute, slow_stream_goes_on_when_there_is_no_other_host)
{
    session_options options = make_options(1000);
    options.hosts_ = {"a"};
    proxy_session s(
        request_kind::resumable_stream, {make_slow_stream()}, options);
    const caller_response response = s.call();
    cr_assert(response.complete_);
    cr_assert(response.body_ == make_events(1, 4));
}


// A request that is no stream was answered 502 though its host was about to
// answer.
Test(reroute, slow_request_goes_on_when_no_retry_is_granted)
{
    proxy_session s(
        request_kind::idempotent, {make_slow_body()}, make_options(0));
    const caller_response response = s.call();
    cr_assert_eq(response.status_, 200);
    cr_assert(response.body_ == make_slow_body().body_);
    cr_assert_eq(s.upstream_.requests(), 1);
}


// The same where there is no other host.
Test(reroute, slow_request_goes_on_when_there_is_no_other_host)
{
    session_options options = make_options(1000);
    options.hosts_ = {"a"};
    proxy_session s(request_kind::idempotent, {make_slow_body()}, options);
    cr_assert_eq(s.call().status_, 200);
}


// A stream that its replacement rejected was cut, though its first host went
// on.
Test(reroute, slow_stream_goes_on_when_its_replacement_is_rejected)
{
    scripted_response busy;
    busy.framing_ = framing::length;
    busy.body_ = "{}";
    busy.status_ = "503 Service Unavailable";
    busy.fields_ = "X-Not-Run: 1\r\n";
    proxy_session s(
        request_kind::resumable_stream,
        {make_slow_stream(), busy, busy, busy},
        make_options(1000));
    const caller_response response = s.call();
    cr_assert(response.complete_);
    cr_assert(response.body_ == make_events(1, 4));
}


// A stream without events is resumed at another host as long as that is
// granted.
Test(reroute, slow_stream_is_resumed_elsewhere)
{
    proxy_session s(
        request_kind::resumable_stream,
        {make_slow_stream(), scripted_response{}},
        make_options(1000));
    const caller_response response = s.call();
    cr_assert(response.complete_);
    cr_assert(response.body_ == make_events(1, 4));
    cr_assert_eq(s.upstream_.requests(), 2);
}
