#include "http_call.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/read_response_header.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/write.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// The settings and the list of hosts are the largest responses.
constexpr std::uint64_t max_body_bytes = std::uint64_t{8} * 1024 * 1024;
constexpr std::uint32_t max_header_bytes = 8 * 1024;
// Maximum number of bytes received that are not parsed yet.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;


std::string address_text(const asio::ip::tcp::endpoint& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

asio::awaitable<call_result> send_request(
    asio::io_context& context,
    asio::ip::tcp::endpoint address,
    call_request request,
    std::chrono::milliseconds connect_timeout,
    std::chrono::milliseconds response_timeout)
{
    beast::tcp_stream stream(context);
    stream.expires_after(connect_timeout);
    const auto [connect_failure] =
        co_await stream.async_connect(address, base::await_tuple);
    if (connect_failure == asio::error::connection_refused)
        co_return call_failure::refused;
    if (connect_failure)
        co_return call_failure::unreachable;
    stream.expires_after(response_timeout);
    const auto [write_failure, sent] =
        co_await http::async_write(stream, request, base::await_tuple);
    if (write_failure)
        co_return call_failure::unanswered;
    beast::flat_buffer buffer{max_unparsed_bytes};
    std::optional<base::bounded_response_parser<http::string_body>> parser;
    const boost::system::error_code failure = co_await base::read_response(
        stream, buffer, parser, {max_header_bytes, max_body_bytes});
    if (failure) {
        base::event_line("call_unanswered", base::severity::warning)
            .field("address", address_text(address))
            .field("target", std::string_view(request.target()))
            .field("reason", failure.message());
        co_return call_failure::unanswered;
    }
    co_return parser->release();
}


asio::awaitable<std::optional<std::string>> http_get(
    asio::io_context& context,
    asio::ip::tcp::endpoint address,
    std::string target,
    std::chrono::milliseconds timeout)
{
    call_request request(http::verb::get, target, 11);
    request.set(http::field::host, "peer");
    auto result = co_await send_request(
        context, address, std::move(request), timeout, timeout);
    auto* response = std::get_if<call_response>(&result);
    if (response == nullptr || response->result() != http::status::ok)
        co_return std::nullopt;
    co_return std::move(response->body());
}


asio::awaitable<bool> can_connect(
    asio::io_context& context,
    asio::ip::tcp::endpoint address,
    std::chrono::milliseconds timeout)
{
    beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    const auto [failure] =
        co_await stream.async_connect(address, base::await_tuple);
    co_return !failure;
}

} // namespace monsoondock::entry::pvt
