#include "proxy_session_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;

using catalog::request_kind;

namespace {

const std::string comment = ": ping\n\n";
// Shorter than the wait for an event, and so many of them that they take longer
// than any limit of a stream.
constexpr std::chrono::milliseconds short_pause{50};
constexpr int drip_count = 200;


// A stream that sends its first event, then the text again and again, and at
// last the other events.
scripted_response make_drip(const std::string& text)
{
    scripted_response r;
    r.parts_ = {{make_stream_header() + make_chunk(make_events(1, 1))}};
    for (int i = 0; i < drip_count; ++i)
        r.parts_.push_back({make_chunk(text), 0, short_pause});
    r.parts_.push_back(
        {make_chunk("\n\n" + make_events(2, 4)) + make_last_chunk()});
    return r;
}


session_options make_options(double retry_slack)
{
    session_options options;
    options.step_ms_ = 1;
    options.target_latency_ = 200ms;
    options.retry_slack_ = retry_slack;
    options.min_stall_time_ = 300ms;
    return options;
}


std::string without_comments(std::string text)
{
    for (auto at = text.find(comment); at != std::string::npos;
         at = text.find(comment))
        text.erase(at, comment.size());
    return text;
}

} // namespace


// A stream that sent a comment now and then but no event went on until the
// deadline of its request.
Test(stalled_stream, comments_do_not_keep_a_stream)
{
    proxy_session s(
        request_kind::at_most_once_stream,
        {make_drip(comment)},
        make_options(0));
    const caller_response response = s.call();
    cr_assert_not(response.complete_);
    cr_assert(without_comments(response.body_) == make_events(1, 1));
}


// The same for a stream that sent a byte of an event now and then.
Test(stalled_stream, bytes_of_an_event_do_not_keep_a_stream)
{
    proxy_session s(
        request_kind::at_most_once_stream, {make_drip("a")}, make_options(0));
    const caller_response response = s.call();
    cr_assert_not(response.complete_);
    cr_assert(response.body_ == make_events(1, 1));
}


// The same before the first event: the caller is answered before its deadline.
Test(stalled_stream, comments_do_not_replace_the_first_event)
{
    scripted_response r = make_drip(comment);
    r.parts_.front().text_ = make_stream_header();
    proxy_session s(request_kind::at_most_once_stream, {r}, make_options(0));
    const caller_response response = s.call();
    cr_assert_not(response.complete_);
    cr_assert(without_comments(response.body_).empty());
}


// A stream with comments only was not resumed at another host.
Test(stalled_stream, stream_with_comments_only_is_resumed_elsewhere)
{
    proxy_session s(
        request_kind::resumable_stream,
        {make_drip(comment), scripted_response{}},
        make_options(1000));
    const caller_response response = s.call();
    cr_assert(response.complete_);
    cr_assert(without_comments(response.body_) == make_events(1, 4));
    cr_assert_eq(s.upstream_.requests(), 2);
}


// Guards against ending streams that are slow on the whole but go on.
Test(stalled_stream, slow_stream_with_events_goes_on)
{
    constexpr int count = 40;
    scripted_response r;
    r.parts_ = {{make_stream_header()}};
    for (int i = 1; i <= count; ++i)
        r.parts_.push_back({make_chunk(make_events(i, i)), 0, short_pause});
    r.parts_.push_back({make_last_chunk()});
    proxy_session s(request_kind::at_most_once_stream, {r}, make_options(0));
    const caller_response response = s.call();
    cr_assert(response.complete_);
    cr_assert(response.body_ == make_events(1, count));
}
