#include "server_session_test.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <criterion/criterion.h>

using namespace monsoondock::traffic::test;

namespace http = boost::beast::http;

namespace {

// Bytes after which a caller sends no more.
constexpr std::size_t max_sent_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t part_bytes = std::size_t{64} * 1024;


// Sends a letter after start again and again, until the server closes the
// connection or max_sent_bytes have been sent. Returns the status of the
// response.
unsigned send_endless(const std::string& start, char letter)
{
    const std::string part(part_bytes, letter);
    server_session s;
    boost::system::error_code failure;
    boost::asio::write(s.socket_, boost::asio::buffer(start), failure);
    for (std::size_t sent = 0; sent < max_sent_bytes && !failure;)
        sent +=
            boost::asio::write(s.socket_, boost::asio::buffer(part), failure);
    http::response<http::string_body> response;
    http::read(s.socket_, s.buffer_, response, failure);
    return response.result_int();
}

} // namespace


Test(endless_request, header_line)
{
    cr_assert_eq(send_endless("GET / HTTP/1.1\r\nX-Field: a", 'a'), 431);
}


// The buffer of a connection grew with a chunk header until the body timed out.
Test(endless_request, chunk_header)
{
    const std::string start =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    cr_assert_eq(send_endless(start, '0'), 400);
    cr_assert_eq(send_endless(start + "5;a=", 'a'), 400);
}
