#include "proxy_session_test.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <criterion/criterion.h>

#include <thread>

using namespace monsoondock;
using namespace monsoondock::relay::test;

using catalog::request_kind;

namespace {

// Bytes after which a caller sends no more.
constexpr std::size_t max_sent_bytes = std::size_t{4} * 1024 * 1024;

const std::string filler(std::size_t{64} * 1024, 'a');
const std::string chunked_request =
    "POST /x HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: r-1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";


// Sends part after start again and again, until the proxy closes the
// connection or max_sent_bytes have been sent. Returns the status of the
// response.
unsigned send_endless(const std::string& start, const std::string& part)
{
    proxy_session s(request_kind::at_most_once, {});
    boost::system::error_code failure;
    boost::asio::write(s.socket_, boost::asio::buffer(start), failure);
    for (std::size_t sent = 0; sent < max_sent_bytes && !failure;)
        sent +=
            boost::asio::write(s.socket_, boost::asio::buffer(part), failure);
    return s.receive().status_;
}

} // namespace


Test(endless_request, header_line)
{
    cr_assert_eq(send_endless("GET / HTTP/1.1\r\nX-Field: a", filler), 431);
}


// A header was limited only by the part of it that a read left incomplete: a
// caller that sent each field up to the first letter of the next one could send
// any number of them.
Test(endless_request, header_fields)
{
    constexpr int field_count = 512;
    const std::string field = "-Field: " + std::string(53, 'a') + "\r\nX";
    proxy_session s(request_kind::at_most_once, {});
    boost::system::error_code failure;
    boost::asio::write(
        s.socket_, boost::asio::buffer("GET / HTTP/1.1\r\nX", 17), failure);
    for (int i = 0; i < field_count && !failure; ++i) {
        // The proxy is to read each field before the next one.
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        boost::asio::write(s.socket_, boost::asio::buffer(field), failure);
    }
    boost::asio::write(
        s.socket_, boost::asio::buffer(": a\r\n\r\n", 7), failure);
    cr_assert_eq(s.receive().status_, 431);
}


// The buffer of a connection grew with a chunk header until the body timed out.
Test(endless_request, chunk_extension)
{
    cr_assert_eq(send_endless(chunked_request + "5;a=", filler), 400);
}


Test(endless_request, chunk_header)
{
    cr_assert_eq(
        send_endless(chunked_request, std::string(std::size_t{64} * 1024, '0')),
        400);
}


Test(endless_request, trailers)
{
    cr_assert_eq(
        send_endless(chunked_request + "0\r\nX-Field: a", filler), 400);
}
