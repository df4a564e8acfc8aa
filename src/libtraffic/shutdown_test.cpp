#include "server_session_test.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <future>
#include <thread>
#include <vector>

using namespace monsoondock;
using namespace monsoondock::traffic;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using test::server_session;

namespace {

// Bound of a test that would wait forever when it fails.
constexpr double hang_seconds = 30;


// Reads until the other side ends the connection. Returns the text, and sets
// failure to eof when the connection ended in order.
std::string read_all(tcp::socket& socket, boost::system::error_code& failure)
{
    std::string text;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), failure);
    return text;
}


void write_text(tcp::socket& socket, const std::string& text)
{
    boost::asio::write(socket, boost::asio::buffer(text));
}


// Limits that end no connection during a test.
limits without_timeouts()
{
    limits bounds = test::make_limits();
    bounds.header_timeout_ = 1h;
    bounds.body_timeout_ = 1h;
    bounds.idle_timeout_ = 1h;
    return bounds;
}


void wait_until_closed(const server& s)
{
    while (!s.is_closed())
        std::this_thread::sleep_for(1ms);
}

} // namespace


// Connections that waited in the listen queue were reset when the listener was
// closed.
Test(shutdown, requests_in_the_listen_queue_are_answered)
{
    constexpr int count = 10;
    std::promise<void> entered;
    std::promise<void> release;
    // Keeps the traffic thread busy, so that it accepts nothing.
    server_session r(test::make_limits(), [&](const std::string& /*target*/) {
        entered.set_value();
        release.get_future().wait();
        return std::optional<std::string>("{}");
    });
    write_text(r.socket_, "GET /admin/x HTTP/1.1\r\nHost: x\r\n\r\n");
    entered.get_future().wait();
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < count; ++i) {
        sockets.push_back(r.connect());
        write_text(sockets.back(), server_session::make_chat("p"));
    }
    r.server_.stop_accepting();
    release.set_value();
    for (tcp::socket& socket : sockets) {
        boost::system::error_code failure;
        const std::string text = read_all(socket, failure);
        cr_assert(text.starts_with("HTTP/1.1 200"));
        cr_assert(failure == boost::asio::error::eof);
    }
}


// A request that the daemon could not finish ended with its connection instead
// of a response.
Test(shutdown, aborted_request_gets_a_last_response)
{
    server_session r;
    r.inject_faults(test::engine_fault::stalled_head, 1);
    write_text(r.socket_, server_session::make_chat("p"));
    while (r.first_.requests() + r.second_.requests() == 0)
        std::this_thread::sleep_for(1ms);
    r.server_.stop_accepting();
    r.server_.abort_requests();
    const test::caller_response response = r.receive();
    cr_assert_eq(response.status_, 503);
    cr_assert_neq(response.body_.find("stopping"), std::string::npos);
    r.socket_.close();
    wait_until_closed(r.server_);
}


// Guards against a last response inside a stream, and against one that looks
// complete.
Test(shutdown, aborted_stream_is_not_complete)
{
    server_session r;
    r.inject_faults(test::engine_fault::stalled_stream, 1);
    write_text(r.socket_, server_session::make_chat("p"));
    std::string head(12, '\0');
    boost::asio::read(r.socket_, boost::asio::buffer(head));
    r.server_.stop_accepting();
    r.server_.abort_requests();
    boost::system::error_code failure;
    const std::string text = head + read_all(r.socket_, failure);
    cr_assert(failure == boost::asio::error::eof);
    cr_assert(text.starts_with("HTTP/1.1 200"));
    cr_assert_not(text.ends_with("0\r\n\r\n"));
    cr_assert_eq(text.find("HTTP/1.1 503"), std::string::npos);
    r.socket_.close();
    wait_until_closed(r.server_);
}


// A request that was being read at the end got no response.
Test(shutdown, unread_request_gets_a_last_response, .timeout = hang_seconds)
{
    server_session r(without_timeouts());
    const std::string request = server_session::make_chat("p");
    write_text(r.socket_, request.substr(0, request.size() / 2));
    // The first half has been read when a later request has its response.
    tcp::socket other = r.connect();
    write_text(other, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    std::string begin(12, '\0');
    boost::asio::read(other, boost::asio::buffer(begin));
    r.server_.stop_accepting();
    r.server_.abort_requests();
    cr_assert_eq(r.receive().status_, 503);
    r.socket_.close();
    other.close();
    wait_until_closed(r.server_);
}


// An idle connection stayed open until the process ended, and was reset then.
Test(
    shutdown,
    idle_connection_ends_after_its_last_response,
    .timeout = hang_seconds)
{
    server_session r(without_timeouts());
    write_text(r.socket_, server_session::make_chat("p"));
    while (r.server_.active_requests() > 0 ||
           r.first_.requests() + r.second_.requests() == 0)
        std::this_thread::sleep_for(1ms);
    r.server_.stop_accepting();
    boost::system::error_code failure;
    const std::string text = read_all(r.socket_, failure);
    cr_assert(text.starts_with("HTTP/1.1 200"));
    cr_assert(failure == boost::asio::error::eof);
    r.socket_.close();
    wait_until_closed(r.server_);
}


// During a shutdown a request that might not be finished was taken and cut.
Test(shutdown, request_that_may_outlast_the_daemon_is_rejected)
{
    server_session r;
    r.server_.drain(base::boot_clock::now());
    const test::caller_response response = r.complete_chat("p");
    cr_assert_eq(response.status_, 503);
    cr_assert_neq(response.body_.find("not_run"), std::string::npos);
    cr_assert_eq(r.first_.requests() + r.second_.requests(), 0);
}
