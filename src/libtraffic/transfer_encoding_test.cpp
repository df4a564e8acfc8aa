#include "server_session_test.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <criterion/criterion.h>

using namespace monsoondock::traffic::test;

namespace http = boost::beast::http;

// The body of a request with a Transfer-Encoding whose last coding isn't
// chunked was taken for a second request.
Test(transfer_encoding, a_body_without_known_length_is_refused)
{
    for (const char* head :
         {"HTTP/1.1\r\nTransfer-Encoding: gzip",
          "HTTP/1.1\r\nTransfer-Encoding: chunked, identity",
          "HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
          "Transfer-Encoding: identity",
          "HTTP/1.1\r\nTransfer-Encoding: gzip\r\nContent-Length: 0",
          "HTTP/1.0\r\nTransfer-Encoding: chunked"}) {
        server_session s;
        boost::asio::write(
            s.socket_,
            boost::asio::buffer(
                std::string("POST /v1/chat/completions ") + head +
                "\r\nHost: x\r\n\r\n" + server_session::make_chat("inside")));
        boost::system::error_code failure;
        http::response<http::string_body> response;
        http::read(s.socket_, s.buffer_, response, failure);
        cr_assert(!failure, "%s", head);
        const unsigned status = response.result_int();
        cr_assert(status == 400 || status == 501, "%s: %u", head, status);
        cr_assert_not(response.keep_alive(), "%s", head);
        http::response<http::string_body> next;
        http::read(s.socket_, s.buffer_, next, failure);
        cr_assert(failure.failed(), "%s", head);
    }
}
