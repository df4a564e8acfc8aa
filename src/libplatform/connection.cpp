#include "connection.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/keepalive_options.hpp>
#include <monsoondock/platform/object.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>


namespace monsoondock::platform::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A response to a list or a watch contains many objects.
constexpr std::size_t max_response_bytes = 64 * max_value_bytes;


// Closes a connection whose peer vanished without a reset within about three
// seconds, also during a watch.
constexpr base::keepalive_options store_keepalive{};

} // namespace

asio::awaitable<std::string> open(
    connection& c,
    asio::ip::tcp::endpoint address,
    std::chrono::milliseconds timeout)
{
    c.stream_.expires_after(timeout);
    const auto [failure] =
        co_await c.stream_.async_connect(address, base::await_tuple);
    if (failure)
        co_return failure.message();
    base::enable_keepalive(c.stream_.socket(), store_keepalive);
    co_return std::string();
}


asio::awaitable<exchange_result>
exchange(connection& c, http_request request, std::chrono::milliseconds timeout)
{
    c.stream_.expires_after(timeout);
    const auto [write_failure, sent] =
        co_await http::async_write(c.stream_, request, base::await_tuple);
    if (write_failure)
        co_return exchange_failed{write_failure.message()};
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    const auto [read_failure, received] = co_await http::async_read(
        c.stream_, c.buffer_, parser, base::await_tuple);
    if (read_failure)
        co_return exchange_failed{read_failure.message()};
    co_return parser.release();
}

} // namespace monsoondock::platform::pvt
