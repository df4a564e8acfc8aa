#include "server_session_test.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::traffic;
using namespace monsoondock::traffic::test;

using boost::asio::ip::tcp;

namespace {

// Bound of a test that would wait forever when it fails.
constexpr double hang_seconds = 30;


/// What a caller got until the end of its connection.
struct received_stream
{
    std::string header_;
    std::string body_;
    /// True when the connection ended in order, which marks the end of the body
    /// for a caller of HTTP/1.0.
    bool ended_in_order_ = false;
};


void send_chat(server_session& s, const std::string& fields = {})
{
    std::string request = server_session::make_chat("p");
    const std::string version = "HTTP/1.1\r\n";
    request.replace(
        request.find(version), version.size(), "HTTP/1.0\r\n" + fields);
    boost::asio::write(s.socket_, boost::asio::buffer(request));
}


received_stream receive_stream(server_session& s, std::string text = {})
{
    boost::system::error_code failure;
    boost::asio::read(s.socket_, boost::asio::dynamic_buffer(text), failure);
    received_stream r;
    const std::size_t end = text.find("\r\n\r\n") + 4;
    r.header_ = text.substr(0, end);
    r.body_ = text.substr(end);
    r.ended_in_order_ = failure == boost::asio::error::eof;
    return r;
}


// Receives the stream until its first event.
std::string receive_first_event(server_session& s)
{
    std::string text;
    boost::asio::read_until(
        s.socket_, boost::asio::dynamic_buffer(text), "}]}\n\n");
    return text;
}

} // namespace


// A stream to a caller of HTTP/1.0 was sent in chunks, which it doesn't know.
Test(
    http_1_0_caller,
    stream_has_no_chunks_and_ends_in_order,
    .timeout = hang_seconds)
{
    for (const char* fields : {"", "Connection: keep-alive\r\n"}) {
        server_session s;
        send_chat(s, fields);
        const received_stream r = receive_stream(s);
        cr_expect(r.header_.starts_with("HTTP/1.1 200 "));
        cr_expect_eq(
            r.header_.find("Transfer-Encoding"),
            std::string::npos,
            "%s",
            r.header_.c_str());
        cr_expect(
            r.body_.starts_with("data: {") &&
                r.body_.ends_with("}]}\n\ndata: [DONE]\n\n"),
            "%s",
            r.body_.c_str());
        cr_expect(r.ended_in_order_);
    }
}


// A stream that was cut ended with an orderly close, which is the end of a
// stream for a caller of HTTP/1.0.
Test(
    http_1_0_caller,
    a_cut_stream_does_not_end_in_order,
    .timeout = hang_seconds)
{
    server_session s;
    s.inject_faults(engine_fault::truncated, 1000);
    send_chat(s);
    const received_stream r = receive_stream(s);
    cr_expect(r.body_.ends_with("}\n\n"), "%s", r.body_.c_str());
    cr_expect_not(r.ended_in_order_);
}


// The same for a stream that the daemon cuts because it exits.
Test(
    http_1_0_caller,
    a_stream_of_an_exiting_daemon_does_not_end_in_order,
    .timeout = hang_seconds)
{
    server_session s;
    s.inject_faults(engine_fault::stalled_stream, 1000);
    send_chat(s);
    std::string text = receive_first_event(s);
    s.server_.abort_requests();
    cr_expect_not(receive_stream(s, std::move(text)).ended_in_order_);
}


// The same for one that is open when the daemon's threads end.
Test(
    http_1_0_caller,
    a_stream_of_a_stopped_daemon_does_not_end_in_order,
    .timeout = hang_seconds)
{
    server_session s;
    s.inject_faults(engine_fault::stalled_stream, 1000);
    send_chat(s);
    std::string text = receive_first_event(s);
    s.server_.stop();
    cr_expect_not(receive_stream(s, std::move(text)).ended_in_order_);
}
