#include "proxy_session_test.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <string>
#include <thread>

using namespace monsoondock;
using namespace monsoondock::relay::test;
using namespace std::chrono_literals;

using boost::asio::ip::tcp;
using catalog::request_kind;

namespace {

scripted_response make_body()
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = "{}";
    return r;
}


// Reads until the other side ends the connection. Returns the text, and sets
// failure to eof when the connection ended in order.
std::string read_all(tcp::socket& socket, boost::system::error_code& failure)
{
    std::string text;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), failure);
    return text;
}


void wait_until_closed(const relay::reverse_proxy& proxy)
{
    while (!proxy.is_closed())
        std::this_thread::sleep_for(1ms);
}

} // namespace


// Connections that waited in the listen queue were reset when the daemon ended.
Test(shutdown, requests_in_the_listen_queue_are_answered)
{
    constexpr std::size_t count = 10;
    proxy_session s(
        request_kind::idempotent,
        std::vector<scripted_response>(count, make_body()));
    // Keeps the traffic thread from accepting them.
    s.proxy_.take_traffic_stats(
        [](const auto&) { std::this_thread::sleep_for(200ms); });
    std::vector<tcp::socket> sockets;
    for (std::size_t i = 0; i < count; ++i) {
        sockets.push_back(s.connect());
        boost::asio::write(sockets.back(), boost::asio::buffer(make_request()));
    }
    s.proxy_.close_idle_connections();
    for (tcp::socket& socket : sockets) {
        boost::system::error_code failure;
        const std::string text = read_all(socket, failure);
        cr_assert(text.starts_with("HTTP/1.1 200"));
        cr_assert(failure == boost::asio::error::eof);
    }
    s.socket_.close();
    wait_until_closed(s.proxy_);
}


// A request of which the daemon had read a part got no answer.
Test(shutdown, request_that_has_begun_is_answered)
{
    proxy_session s(request_kind::idempotent, {make_body(), make_body()});
    cr_assert_eq(s.call().status_, 200);
    const std::string request = make_request();
    const auto half = boost::asio::buffer(request, request.size() / 2);
    boost::asio::write(s.socket_, half);
    while (s.proxy_.busy_connections() == 0)
        std::this_thread::sleep_for(1ms);
    s.proxy_.close_idle_connections();
    boost::asio::write(s.socket_, boost::asio::buffer(request) + half.size());
    cr_assert_eq(s.receive().status_, 200);
}


// An idle connection was reset, with what its caller had not read yet.
Test(shutdown, idle_connection_ends_after_its_last_response)
{
    proxy_session s(request_kind::idempotent, {make_body()});
    s.send();
    while (s.proxy_.busy_connections() > 0 || s.upstream_.requests() == 0)
        std::this_thread::sleep_for(1ms);
    s.proxy_.close_idle_connections();
    boost::system::error_code failure;
    const std::string text = read_all(s.socket_, failure);
    cr_assert(text.starts_with("HTTP/1.1 200"));
    cr_assert(failure == boost::asio::error::eof);
    s.socket_.close();
    wait_until_closed(s.proxy_);
}


// A request that the daemon could not finish ended with its connection instead
// of an answer.
Test(shutdown, aborted_request_gets_a_last_response)
{
    scripted_response slow = make_body();
    slow.pause_ = 60s;
    proxy_session s(request_kind::at_most_once, {slow});
    s.send();
    while (s.upstream_.requests() == 0)
        std::this_thread::sleep_for(1ms);
    s.proxy_.abort_requests();
    const caller_response response = s.receive();
    cr_assert_eq(response.status_, 502);
    cr_assert(response.complete_);
}


// Guards against cutting a long response at the end of a shutdown because those
// to other requests were short (review/4).
Test(shutdown, short_responses_to_others_promise_nothing)
{
    constexpr int others = 60;
    scripted_response stream;
    stream.body_ = make_events(1, 2);
    proxy_session s(
        request_kind::resumable_stream,
        std::vector<scripted_response>(others + 1, stream));
    for (int i = 0; i < others; ++i)
        cr_assert_eq(s.call_once({}).status_, 200);
    const base::time_point now = base::boot_clock::now();
    s.proxy_.drain({now, now + 5s, now + 5s});
    const caller_response response = s.call_once({});
    cr_assert_eq(response.status_, 503);
    cr_assert_not(response.retry_after_.empty());
    cr_assert_eq(s.upstream_.requests(), others);
}


// Guards against cutting a short stream at the end of a shutdown because its
// host, which was to be done in time, paused for a second (review/8).
Test(shutdown, short_stream_that_a_pause_may_delay_is_rejected)
{
    session_options options;
    options.step_ms_ = 1;
    proxy_session s(
        request_kind::at_most_once_stream, {scripted_response{}}, options);
    const base::time_point now = base::boot_clock::now();
    s.proxy_.drain({now, now + 5s, now + 5s});
    request_options request;
    request.deadline_ = 8s;
    request.token_counts_ = "100,20";
    const caller_response response = s.call_once(request);
    cr_assert_eq(response.status_, 503);
    cr_assert_not(response.retry_after_.empty());
    cr_assert_eq(s.upstream_.requests(), 0);
}


// Guards against telling callers to come back before another daemon is ready,
// where they are rejected once more.
Test(shutdown, rejected_caller_returns_when_another_daemon_is_ready)
{
    proxy_session s(request_kind::at_most_once, {make_body()});
    const base::time_point now = base::boot_clock::now();
    s.proxy_.drain({now, now + 25s, now + 15s});
    const caller_response response = s.call();
    cr_assert_eq(response.status_, 503);
    const double seconds = std::stod(response.retry_after_);
    cr_assert(seconds > 5);
    cr_assert(seconds < 20);
}


// During a shutdown a request that might not be finished is rejected at once,
// and the caller is told when to come back.
Test(shutdown, request_that_may_outlast_the_daemon_is_rejected)
{
    proxy_session s(request_kind::at_most_once, {make_body()});
    const base::time_point now = base::boot_clock::now();
    s.proxy_.drain({now, now + 5s});
    const caller_response response = s.call();
    cr_assert_eq(response.status_, 503);
    cr_assert_not(response.retry_after_.empty());
    cr_assert_eq(s.upstream_.requests(), 0);
}
