#include "proxy_session_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::test;

using catalog::request_kind;

namespace {

/// One way in which a host ends a stream of four events.
struct stream_ending
{
    const char* name_;
    framing framing_;
    ending ending_;
    /// See scripted_response.
    bool finished_;
    int last_event_;
    const char* partial_event_;
    /// True when the stream is complete for its caller.
    bool complete_;
};

constexpr const char* part = "id: 3\ndata: pa";

// The rows of the table in docs/design/endings.md.
const std::vector<stream_ending> stream_endings{
    {"last chunk", framing::chunked, ending::keep_open, true, 4, "", true},
    {"last chunk, then closed",
     framing::chunked,
     ending::close,
     true,
     4,
     "",
     true},
    {"last chunk inside an event",
     framing::chunked,
     ending::keep_open,
     true,
     2,
     part,
     false},
    {"closed between chunks",
     framing::chunked,
     ending::close,
     false,
     2,
     "",
     false},
    {"closed between chunks inside an event",
     framing::chunked,
     ending::close,
     false,
     2,
     part,
     false},
    {"reset between chunks",
     framing::chunked,
     ending::reset,
     false,
     2,
     "",
     false},
    {"length reached", framing::length, ending::keep_open, true, 4, "", true},
    {"length reached inside an event",
     framing::length,
     ending::keep_open,
     true,
     2,
     part,
     false},
    {"closed before the length",
     framing::length,
     ending::close,
     false,
     2,
     "",
     false},
    {"unframed, closed between events",
     framing::connection_close,
     ending::close,
     true,
     4,
     "",
     true},
    {"unframed, closed inside an event",
     framing::connection_close,
     ending::close,
     true,
     2,
     part,
     false},
    {"unframed, closed before the first event",
     framing::connection_close,
     ending::close,
     true,
     0,
     "",
     false},
    {"unframed, reset",
     framing::connection_close,
     ending::reset,
     true,
     2,
     "",
     false},
    {"HTTP/1.0, closed between events",
     framing::http_1_0,
     ending::close,
     true,
     4,
     "",
     true},
    {"HTTP/1.0, closed inside an event",
     framing::http_1_0,
     ending::close,
     true,
     2,
     part,
     false}};


scripted_response make_response(const stream_ending& e)
{
    scripted_response r;
    r.framing_ = e.framing_;
    r.ending_ = e.ending_;
    r.finished_ = e.finished_;
    r.last_event_ = e.last_event_;
    r.partial_event_ = e.partial_event_;
    return r;
}


// Ends with its connection inside the third event.
scripted_response make_truncated_response()
{
    scripted_response r;
    r.framing_ = framing::connection_close;
    r.ending_ = ending::close;
    r.last_event_ = 2;
    r.partial_event_ = part;
    return r;
}


scripted_response make_body_response(framing f, ending e, bool finished = true)
{
    scripted_response r;
    r.framing_ = f;
    r.ending_ = e;
    r.finished_ = finished;
    r.body_ = "{\"paid\":5}";
    return r;
}

} // namespace


// A stream that its host broke off inside an event reached the caller with the
// last chunk, as if it were complete.
Test(stream_end, unframed_stream_cut_inside_an_event_is_not_complete)
{
    proxy_session s(
        request_kind::at_most_once_stream, {make_truncated_response()});
    const caller_response response = s.call();
    cr_assert(response.status_ == 200);
    cr_assert(response.body_ == make_events(1, 2));
    cr_assert_not(response.complete_);
}


// A stream that its host broke off inside an event was not resumed elsewhere.
Test(stream_end, unframed_stream_cut_inside_an_event_is_resumed)
{
    proxy_session s(
        request_kind::resumable_stream,
        {make_truncated_response(), scripted_response{}});
    const caller_response response = s.call();
    cr_assert(response.body_ == make_events(1, 4));
    cr_assert(response.complete_);
    cr_assert_eq(s.upstream_.requests(), 2);
}


// Streams that a host broke off, by whatever framing, looked complete.
Test(stream_end, resumable_streams_are_complete_however_a_host_ends_them)
{
    for (const stream_ending& e : stream_endings) {
        proxy_session s(
            request_kind::resumable_stream,
            {make_response(e), scripted_response{}});
        const caller_response response = s.call();
        cr_assert(response.status_ == 200, "%s", e.name_);
        cr_assert(response.complete_, "%s", e.name_);
        cr_assert(response.body_ == make_events(1, 4), "%s", e.name_);
        cr_assert_eq(
            s.upstream_.requests(), e.complete_ ? 1U : 2U, "%s", e.name_);
    }
}


// The same for streams that can't be resumed: the caller has to see that they
// were broken off.
Test(stream_end, other_streams_are_complete_only_if_the_host_ended_them)
{
    for (const stream_ending& e : stream_endings) {
        proxy_session s(request_kind::at_most_once_stream, {make_response(e)});
        const caller_response response = s.call();
        const bool complete_success =
            response.complete_ && response.status_ == 200;
        cr_assert_eq(complete_success, e.complete_, "%s", e.name_);
        cr_assert_eq(s.upstream_.requests(), 1, "%s", e.name_);
        if (response.status_ == 200)
            cr_assert(
                make_events(1, e.last_event_).starts_with(response.body_),
                "%s",
                e.name_);
    }
}


// A broken stream looked complete to a caller whose streams end with the
// connection.
Test(stream_end, callers_of_http_1_0_see_whether_a_stream_is_complete)
{
    for (const stream_ending& e : stream_endings) {
        proxy_session s(request_kind::at_most_once_stream, {make_response(e)});
        const caller_response response = s.call(10);
        cr_assert_not(response.chunked_, "%s", e.name_);
        const bool complete_success =
            response.complete_ && response.status_ == 200;
        cr_assert_eq(complete_success, e.complete_, "%s", e.name_);
        if (complete_success)
            cr_assert(response.body_ == make_events(1, 4), "%s", e.name_);
    }
}


Test(stream_end, a_resumed_stream_may_end_without_an_event)
{
    for (const framing f : {framing::length, framing::chunked}) {
        scripted_response rest;
        rest.framing_ = f;
        scripted_response whole;
        whole.ending_ = ending::reset;
        whole.finished_ = false;
        proxy_session s(request_kind::resumable_stream, {whole, rest});
        const caller_response response = s.call();
        cr_assert(response.complete_);
        cr_assert(response.body_ == make_events(1, 4));
    }
}


// A stream that was resumed at a host which closed its connection before it had
// sent an event was complete for its caller.
Test(stream_end, a_resumed_stream_without_framing_and_events_is_not_complete)
{
    for (const framing f : {framing::connection_close, framing::http_1_0}) {
        scripted_response reset;
        reset.last_event_ = 2;
        reset.finished_ = false;
        reset.ending_ = ending::reset;
        scripted_response nothing;
        nothing.framing_ = f;
        nothing.last_event_ = 2;
        nothing.ending_ = ending::close;
        proxy_session s(request_kind::resumable_stream, {reset, nothing});
        const caller_response response = s.call();
        cr_assert(response.body_ == make_events(1, 2));
        cr_assert_not(response.complete_);
    }
}


Test(stream_end, buffered_responses_are_complete_or_not_sent)
{
    struct body_ending
    {
        const char* name_;
        scripted_response response_;
        bool complete_;
    };
    const std::vector<body_ending> endings{
        {"length reached",
         make_body_response(framing::length, ending::keep_open),
         true},
        {"closed before the length",
         make_body_response(framing::length, ending::close, false),
         false},
        {"last chunk",
         make_body_response(framing::chunked, ending::keep_open),
         true},
        {"closed between chunks",
         make_body_response(framing::chunked, ending::close, false),
         false},
        {"unframed, closed",
         make_body_response(framing::connection_close, ending::close),
         true},
        {"unframed, reset",
         make_body_response(framing::connection_close, ending::reset),
         false},
        {"HTTP/1.0, closed",
         make_body_response(framing::http_1_0, ending::close),
         true}};
    for (const body_ending& e : endings) {
        proxy_session once(request_kind::at_most_once, {e.response_});
        const caller_response response = once.call();
        cr_assert(response.complete_, "%s", e.name_);
        cr_assert_eq(
            response.status_, e.complete_ ? 200U : 502U, "%s", e.name_);
        cr_assert_eq(once.upstream_.requests(), 1, "%s", e.name_);
        if (e.complete_)
            cr_assert(response.body_ == e.response_.body_, "%s", e.name_);

        const auto good =
            make_body_response(framing::length, ending::keep_open);
        proxy_session repeated(request_kind::idempotent, {e.response_, good});
        cr_assert(repeated.call().body_ == good.body_, "%s", e.name_);
        cr_assert_eq(
            repeated.upstream_.requests(),
            e.complete_ ? 1U : 2U,
            "%s",
            e.name_);
    }
}


// A request sent on a connection that its host had announced to close was lost.
Test(stream_end, a_connection_that_a_host_announced_to_close_is_not_reused)
{
    scripted_response r = make_body_response(framing::length, ending::close);
    r.fields_ = "Connection: close\r\n";
    proxy_session s(
        request_kind::at_most_once, std::vector<scripted_response>(20, r));
    for (int i = 0; i < 20; ++i)
        cr_assert(s.call().status_ == 200);
}
