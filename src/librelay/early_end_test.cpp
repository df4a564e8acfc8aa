#include "proxy_session_test.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace monsoondock;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;

using catalog::request_kind;

namespace {

const std::string body = "{\"paid\":5,\"to\":\"shed 7\"}";


/// Framings whose end is the end of the connection.
constexpr std::array unframed_versions{1, 0};


session_options impatient_options()
{
    session_options options;
    options.step_ms_ = 1;
    options.target_latency_ = 200ms;
    return options;
}


// Sends half of a response without length and chunks, falls silent until it has
// been replaced, and ends its connection.
scripted_response
make_silent_response(bool stream, int minor_version, ending how)
{
    scripted_response r;
    r.parts_ = {
        {make_unframed_header(stream, minor_version) +
         (stream ? make_events(1, 2) : body.substr(0, body.size() / 2))},
        {"", 2, 100ms}};
    r.ending_ = how;
    return r;
}


// Resets its connection, without a byte, after the one that it replaced has
// ended.
scripted_response make_silent_replacement()
{
    scripted_response r;
    r.parts_ = {{"", 0, 700ms}};
    r.ending_ = ending::reset;
    return r;
}

} // namespace

// A stream whose upstream fell silent between two events and reset its
// connection reached the caller with the last chunk, because a look at the
// suspended try had used up the reset.
Test(early_end, stream_reset_while_it_was_suspended_is_not_complete)
{
    for (const int version : unframed_versions) {
        proxy_session s(
            request_kind::resumable_stream,
            {make_silent_response(true, version, ending::reset),
             make_silent_replacement()},
            impatient_options());
        const caller_response response = s.call();
        cr_expect_eq(s.upstream_.requests(), 2);
        cr_expect(response.body_ == make_events(1, 2));
        cr_expect_not(response.complete_, "HTTP/1.%d", version);
    }
}


// The same for a response that is no stream: 200 with half of the body, and its
// size as the Content-Length.
Test(early_end, body_reset_while_it_was_suspended_is_not_passed_on)
{
    for (const int version : unframed_versions) {
        proxy_session s(
            request_kind::idempotent,
            {make_silent_response(false, version, ending::reset),
             make_silent_replacement()},
            impatient_options());
        const caller_response response = s.call();
        cr_expect_eq(s.upstream_.requests(), 2);
        cr_expect_eq(
            response.status_,
            502,
            "HTTP/1.%d: %u, %zu of %zu bytes",
            version,
            response.status_,
            response.body_.size(),
            body.size());
    }
}
