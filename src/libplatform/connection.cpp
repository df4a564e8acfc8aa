#include "connection.hpp"

#include <monsoondock/platform/object.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>

namespace monsoondock::platform::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto await_tuple = asio::as_tuple(asio::use_awaitable);

// A list or a watch answer holds many objects.
constexpr std::size_t max_answer_bytes = 64 * max_value_bytes;


// A connection can go silent without a reset. Keep-alive probes and a bound on
// unacknowledged data end it within about three seconds, also during a watch.
constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 2;
constexpr int unacknowledged_ms = 2000;


void detect_silence(asio::ip::tcp::socket& socket)
{
    using asio::detail::socket_option::integer;
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPIDLE>(probe_idle_s), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPINTVL>(probe_interval_s), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(probe_count), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledged_ms), ignored);
}

} // namespace

asio::awaitable<std::string> open(
    connection& c,
    asio::ip::tcp::endpoint address,
    std::chrono::milliseconds timeout)
{
    c.stream_.expires_after(timeout);
    const auto [failure] =
        co_await c.stream_.async_connect(address, await_tuple);
    if (failure)
        co_return failure.message();
    detect_silence(c.stream_.socket());
    co_return std::string();
}


asio::awaitable<exchange_result>
exchange(connection& c, http_request request, std::chrono::milliseconds timeout)
{
    c.stream_.expires_after(timeout);
    const auto [write_failure, sent] =
        co_await http::async_write(c.stream_, request, await_tuple);
    if (write_failure)
        co_return exchange_failed{write_failure.message()};
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    const auto [read_failure, received] =
        co_await http::async_read(c.stream_, c.buffer_, parser, await_tuple);
    if (read_failure)
        co_return exchange_failed{read_failure.message()};
    co_return parser.release();
}

} // namespace monsoondock::platform::pvt
