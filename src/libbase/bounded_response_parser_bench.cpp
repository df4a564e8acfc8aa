#include <monsoondock/base/bounded_response_parser.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdio>
#include <string>

// Compares bounded_response_parser with bounded_parser, which does not check
// the status and folding, on a response with 9 header fields and a body of 200
// bytes. Prints the time of each pair of runs for a response.

namespace {

namespace base = monsoondock::base;
namespace http = boost::beast::http;

constexpr int pairs = 5;
constexpr int responses = 400000;
constexpr std::size_t body_bytes = 200;
constexpr std::uint32_t max_header_bytes = 64 * 1024;


std::string make_response()
{
    return "HTTP/1.1 200 OK\r\n"
           "X-Request-Id: 9c41d07be2a35f68\r\n"
           "X-Response-Token: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
           "X-Server-Load: 3,0,17\r\n"
           "X-Weight-Versions: 1\r\n"
           "Server: engine\r\n"
           "Date: Sun, 06 Dec 2026 22:18:19 GMT\r\n"
           "Keep-Alive: timeout=5\r\n"
           "Content-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'a');
}


// Returns the nanoseconds that a response takes.
template <class Parser>
double measure(const std::string& text)
{
    const auto start = std::chrono::steady_clock::now();
    std::size_t fields = 0;
    for (int i = 0; i < responses; ++i) {
        Parser parser(max_header_bytes);
        parser.eager(true);
        boost::system::error_code failure;
        parser.put(boost::asio::buffer(text), failure);
        fields += parser.is_done() ? parser.get().count("X-Request-Id") : 0;
    }
    if (fields != std::size_t{responses})
        std::puts("not all responses were accepted");
    const std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - start;
    return taken.count() / responses;
}

} // namespace

int main()
{
    using unchecked = base::bounded_parser<false, http::string_body>;
    using checked = base::bounded_response_parser<http::string_body>;
    const std::string text = make_response();
    // The first runs are slower, whichever parser they have.
    measure<unchecked>(text);
    measure<checked>(text);
    std::puts("pair  unchecked ns  checked ns  difference ns");
    for (int pair = 1; pair <= pairs; ++pair) {
        const double without = measure<unchecked>(text);
        const double with = measure<checked>(text);
        std::printf(
            "%4d  %12.1f  %10.1f  %13.1f\n",
            pair,
            without,
            with,
            with - without);
    }
}
