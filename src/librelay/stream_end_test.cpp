#include "proxy_session_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::test;

using catalog::request_kind;

namespace {

// Ends with its connection inside the third event.
scripted_response make_truncated_response()
{
    scripted_response r;
    r.framing_ = framing::connection_close;
    r.ending_ = ending::close;
    r.last_event_ = 2;
    r.partial_event_ = "id: 3\ndata: pa";
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
