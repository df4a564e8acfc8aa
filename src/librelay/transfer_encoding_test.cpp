#include "proxy_session_test.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::test;

namespace http = boost::beast::http;

namespace {

scripted_response plain_response()
{
    scripted_response r;
    r.framing_ = framing::length;
    r.body_ = "done";
    return r;
}


// Sends a request with the given fields whose body is a request, and returns
// the status of the only response, or 0 when there are more.
unsigned send_with(
    proxy_session& s, const std::string& fields, const std::string& version)
{
    const std::string inside =
        "POST /y HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: "
        "r-2\r\nX-Model: m\r\n"
        "Content-Length: 0\r\n\r\n";
    boost::asio::write(
        s.socket_,
        boost::asio::buffer(
            "POST /x HTTP/" + version +
            "\r\nHost: callers.example\r\nX-Request-Id: r-1\r\nX-Model: m\r\n" +
            fields + "\r\n" + inside));
    boost::system::error_code failure;
    http::response<http::string_body> response;
    http::read(s.socket_, s.buffer_, response, failure);
    if (failure || response.keep_alive())
        return 0;
    http::response<http::string_body> next;
    http::read(s.socket_, s.buffer_, next, failure);
    return failure ? response.result_int() : 0;
}

} // namespace

// A request with a Transfer-Encoding whose last coding isn't chunked ran with
// an empty body, and its body ran as a second request.
Test(transfer_encoding, a_body_without_known_length_is_refused)
{
    for (const char* fields :
         {"Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding: xchunked\r\n",
          "Transfer-Encoding: chunked, identity\r\n",
          "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked;a=b\r\n",
          "Transfer-Encoding:\r\n",
          "Transfer-Encoding: ,\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
          "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n",
          "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
          "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n"}) {
        proxy_session s(
            catalog::request_kind::at_most_once,
            {plain_response(), plain_response()});
        const unsigned status = send_with(s, fields, "1.1");
        cr_assert(status == 400 || status == 501, "%s: %u", fields, status);
        cr_assert_eq(s.upstream_.requests(), 0, "%s", fields);
    }
}


Test(transfer_encoding, requests_of_http_1_0_have_none)
{
    for (const char* fields :
         {"Transfer-Encoding: chunked\r\n",
          "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding: gzip\r\nConnection: keep-alive\r\n"}) {
        proxy_session s(
            catalog::request_kind::at_most_once,
            {plain_response(), plain_response()});
        cr_assert_eq(send_with(s, fields, "1.0"), 400, "%s", fields);
        cr_assert_eq(s.upstream_.requests(), 0, "%s", fields);
    }
}


// Guards against refusing what callers send.
Test(transfer_encoding, chunks_alone_are_served)
{
    for (const char* coding : {"chunked", "Chunked", " chunked "}) {
        proxy_session s(
            catalog::request_kind::at_most_once, {plain_response()});
        boost::asio::write(
            s.socket_,
            boost::asio::buffer(
                std::string(
                    "POST /x HTTP/1.1\r\nHost: callers.example\r\n"
                    "X-Request-Id: r-1\r\nX-Model: m\r\nTransfer-Encoding: ") +
                coding + "\r\n\r\n" + make_chunk("pay 5") + make_last_chunk()));
        cr_assert_eq(s.receive().status_, 200, "%s", coding);
    }
}
