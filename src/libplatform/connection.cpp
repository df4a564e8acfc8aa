#include "connection.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/keepalive_options.hpp>
#include <monsoondock/base/read_response_header.hpp>
#include <monsoondock/platform/object.hpp>

#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>


namespace monsoondock::platform::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A response to a list or a watch contains many objects. Several responses at
// once have to fit into the memory of a daemon.
constexpr std::size_t max_response_bytes = 16 * max_value_bytes;
constexpr std::uint32_t max_response_header_bytes = 16 * 1024;


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


bool is_reusable(connection& c)
{
    boost::system::error_code failure;
    return c.buffer_.size() == 0 && c.stream_.socket().available(failure) == 0;
}


asio::awaitable<exchange_result>
exchange(connection& c, http_request request, std::chrono::milliseconds timeout)
{
    c.stream_.expires_after(timeout);
    const auto [write_failure, sent] =
        co_await http::async_write(c.stream_, request, base::await_tuple);
    if (write_failure)
        co_return exchange_failed{write_failure.message()};
    std::optional<base::bounded_response_parser<http::string_body>> parser;
    const boost::system::error_code read_failure = co_await base::read_response(
        c.stream_,
        c.buffer_,
        parser,
        {max_response_header_bytes, max_response_bytes});
    if (read_failure)
        co_return exchange_failed{read_failure.message()};
    co_return parser->release();
}

} // namespace monsoondock::platform::pvt
