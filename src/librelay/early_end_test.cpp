#include "proxy_session_test.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <array>
#include <memory>

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


// Sends half of a response without length and chunks, and falls: the kernel
// closes the connections of a process that is killed in order.
scripted_response
make_response_of_killed_process(bool stream, int minor_version)
{
    scripted_response r;
    r.parts_ = {
        {make_unframed_header(stream, minor_version) +
         (stream ? make_events(1, 2) : body.substr(0, body.size() / 2))}};
    r.ending_ = ending::process_end;
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


// A second response right behind one without a length became a part of its
// body; in a stream its header reached the caller as an event.
Test(early_end, a_second_response_is_no_part_of_the_first)
{
    for (const int version : unframed_versions) {
        scripted_response twice;
        twice.parts_ = {
            {make_unframed_header(false, version) + body +
             make_unframed_header(false, version) + body}};
        twice.ending_ = ending::close;
        proxy_session once(request_kind::at_most_once, {twice});
        cr_expect_eq(once.call().status_, 502, "HTTP/1.%d", version);

        scripted_response stream;
        stream.parts_ = {
            {make_unframed_header(true, version) + make_events(1, 2) +
             make_unframed_header(true, version) + make_events(1, 4)}};
        stream.ending_ = ending::close;
        proxy_session cut(request_kind::at_most_once_stream, {stream});
        const caller_response response = cut.call();
        cr_expect(response.body_ == make_events(1, 2), "HTTP/1.%d", version);
        cr_expect_not(response.complete_, "HTTP/1.%d", version);
        proxy_session resumed(
            request_kind::resumable_stream, {stream, scripted_response{}});
        const caller_response whole = resumed.call();
        cr_expect(whole.body_ == make_events(1, 4), "HTTP/1.%d", version);
        cr_expect(whole.complete_, "HTTP/1.%d", version);
    }
}


// A host that was killed halfway through a response without length and chunks
// was believed to have ended it: 200 with half of the body, or the last chunk
// between two events.
Test(early_end, response_of_a_killed_process_is_not_complete)
{
    for (const int version : unframed_versions) {
        proxy_session once(
            request_kind::at_most_once,
            {make_response_of_killed_process(false, version)});
        const caller_response failed = once.call();
        cr_expect_eq(
            failed.status_,
            502,
            "HTTP/1.%d: %u, %zu of %zu bytes",
            version,
            failed.status_,
            failed.body_.size(),
            body.size());
        proxy_session stream(
            request_kind::at_most_once_stream,
            {make_response_of_killed_process(true, version)});
        const caller_response cut = stream.call();
        cr_expect(cut.body_ == make_events(1, 2), "HTTP/1.%d", version);
        cr_expect_not(cut.complete_, "HTTP/1.%d", version);
    }
}


// The same where another host can take the request.
Test(early_end, request_of_a_killed_process_goes_on_elsewhere)
{
    for (const int version : unframed_versions) {
        for (const bool stream : {false, true}) {
            scripted_response good;
            good.body_ = stream ? "" : body;
            const std::vector<scripted_response> script(
                1, make_response_of_killed_process(stream, version));
            session_options options;
            options.hosts_ = {"a", "b"};
            fake_upstream other({good, good});
            proxy_session s(
                stream ? request_kind::resumable_stream
                       : request_kind::idempotent,
                script,
                options);
            s.place_hosts({s.upstream_.address(), other.address()});
            // The first request may be sent to either host.
            while (s.upstream_.requests() == 0 && other.requests() < 2) {
                const caller_response response = s.call();
                cr_expect(response.complete_, "HTTP/1.%d", version);
                cr_expect(
                    response.body_ == (stream ? make_events(1, 4) : body),
                    "HTTP/1.%d",
                    version);
            }
        }
    }
}


// Guards against losing a complete response because its host has as many
// connections as it accepts, and resets the one that checks it.
Test(early_end, response_of_a_host_without_free_connections_is_complete)
{
    for (const int version : unframed_versions) {
        scripted_response r;
        r.parts_ = {{make_unframed_header(false, version) + body}};
        r.ending_ = ending::close_when_full;
        proxy_session once(request_kind::at_most_once, {r});
        const caller_response response = once.call();
        cr_expect_eq(response.status_, 200, "HTTP/1.%d", version);
        cr_expect(response.body_ == body, "HTTP/1.%d", version);

        scripted_response stream;
        stream.parts_ = {
            {make_unframed_header(true, version) + make_events(1, 4)}};
        stream.ending_ = ending::close_when_full;
        proxy_session streams(request_kind::at_most_once_stream, {stream});
        const caller_response streamed = streams.call();
        cr_expect(streamed.body_ == make_events(1, 4), "HTTP/1.%d", version);
        cr_expect(streamed.complete_, "HTTP/1.%d", version);
    }
}


// The header of a second response reached the caller as a part of the event in
// which the first one broke off, and the stream counted as complete.
Test(early_end, a_second_response_behind_a_part_of_an_event_is_not_passed_on)
{
    for (const char* part : {"data: part 3\n", "id: 3\nda", ": comment\n"}) {
        scripted_response r;
        r.parts_ = {
            {make_unframed_header(true) + make_events(1, 2) + part +
             make_unframed_header(true) + make_events(1, 4)}};
        r.ending_ = ending::close;
        proxy_session s(request_kind::at_most_once_stream, {r});
        const caller_response response = s.call();
        cr_expect_not(response.complete_, "behind '%s'", part);
        cr_expect(
            response.body_.find("HTTP/1.") == std::string::npos,
            "behind '%s'",
            part);
    }
}


// A stream to a caller of HTTP/1.0 that was open when the daemon's proxy ended
// was closed in order, which is the end of such a stream.
Test(early_end, stream_of_a_destroyed_proxy_does_not_end_in_order)
{
    scripted_response silent;
    silent.parts_ = {
        {make_unframed_header(true, 1) + make_events(1, 2)}, {"", 2}};
    auto s = std::make_unique<proxy_session>(
        request_kind::at_most_once_stream,
        std::vector<scripted_response>{silent});
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket caller(context);
    caller.assign(boost::asio::ip::tcp::v4(), s->connect().release());
    boost::asio::write(
        caller, boost::asio::buffer(make_request({10, 60000ms, {}, {}, {}})));
    std::string text;
    boost::asio::read_until(
        caller, boost::asio::dynamic_buffer(text), make_events(1, 2));
    s.reset();
    boost::system::error_code failure;
    boost::asio::read(caller, boost::asio::dynamic_buffer(text), failure);
    cr_expect(
        failure == boost::asio::error::connection_reset,
        "%s",
        failure.message().c_str());
    cr_expect(text.ends_with(make_events(1, 2)));
}
