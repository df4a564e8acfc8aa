#include "proxy_session_test.hpp"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <thread>

using namespace monsoondock;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;

using boost::asio::ip::tcp;
using catalog::request_kind;

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
// More than the socket buffers of both ends hold.
constexpr std::size_t body_bytes = 12 * mebibyte;
constexpr int small_buffer_bytes = 4096;
// Beyond the time after which the kernel ended connections whose other end did
// not read.
constexpr std::chrono::milliseconds long_pause{4500};
// Longer than a test takes; the wait ends earlier.
constexpr std::chrono::milliseconds patience{30000};


scripted_response make_large_body()
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = std::string(body_bytes, 'x');
    return r;
}


// Sends a request on a connection of its own, and reads the response after a
// pause.
caller_response call_with_pause(proxy_session& s)
{
    s.socket_ = s.connect(small_buffer_bytes);
    s.send();
    std::this_thread::sleep_for(long_pause);
    return s.receive();
}

} // namespace


// A caller that read nothing for three seconds got a part of its response.
Test(slow_reader, caller_that_pauses_gets_its_response)
{
    proxy_session s(request_kind::at_most_once, {make_large_body()});
    const caller_response response = call_with_pause(s);
    cr_assert_eq(response.status_, 200);
    cr_assert(response.complete_);
    cr_assert_eq(response.body_.size(), body_bytes);
}


// The same for a stream; its host waits meanwhile.
Test(slow_reader, caller_that_pauses_gets_its_stream)
{
    const std::string event =
        "data: " + std::string(mebibyte / 2, 'x') + "\n\n";
    constexpr int count = 24;
    scripted_response r;
    r.parts_ = {{make_stream_header()}};
    for (int i = 0; i < count; ++i)
        r.parts_.push_back({make_chunk(event)});
    r.parts_.push_back({make_last_chunk()});
    proxy_session s(request_kind::at_most_once_stream, {r});
    const caller_response response = call_with_pause(s);
    cr_assert(response.complete_);
    cr_assert_eq(response.body_.size(), count * event.size());
}


// Guards against holding a host for a caller that reads nothing until the
// deadline of its request.
Test(slow_reader, caller_that_reads_nothing_is_disconnected)
{
    scripted_response r;
    r.verbatim_ = make_stream_header();
    r.repeated_ = make_chunk("data: " + std::string(65536, 'x') + "\n\n");
    session_options options;
    options.caller_stall_limit_ = 1s;
    proxy_session s(request_kind::at_most_once_stream, {r}, options);
    s.socket_ = s.connect(small_buffer_bytes);
    s.send();
    while (s.upstream_.requests() == 0)
        std::this_thread::sleep_for(1ms);
    cr_assert(s.upstream_.wait_for_end_of_repetition(patience));
    cr_assert_lt(s.upstream_.repeated_bytes(), max_endless_bytes);
    cr_assert_not(s.receive().complete_);
}


// What a caller did not read was held in socket buffers of several megabytes
// for each stream, which count towards the memory of a daemon.
Test(slow_reader, little_is_held_for_a_caller_that_reads_nothing)
{
    scripted_response r;
    r.verbatim_ = make_stream_header();
    r.repeated_ = make_chunk("data: " + std::string(8192, 'x') + "\n\n");
    proxy_session s(request_kind::at_most_once_stream, {r});
    s.socket_ = s.connect(small_buffer_bytes);
    s.send();
    // Until the host can send no more.
    std::size_t sent = 0;
    for (std::size_t before = 1; sent != before || sent == 0;) {
        before = sent;
        std::this_thread::sleep_for(300ms);
        sent = s.upstream_.repeated_bytes();
    }
    cr_assert_leq(sent, mebibyte, "%zu bytes", sent);
}


// A host that read nothing of a request for three seconds lost it.
Test(slow_reader, upstream_that_pauses_gets_its_request)
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = "{}";
    proxy_session s(request_kind::at_most_once, {r});
    s.upstream_.set_read_pause(long_pause);
    request_options request;
    request.body_ = std::string(3 * mebibyte, 'x');
    cr_assert_eq(s.call_once(request).status_, 200);
    cr_assert_eq(s.upstream_.requests(), 1);
}
