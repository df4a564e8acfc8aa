#include "roles.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <string>

namespace monsoondock::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto await_tuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned http_version_1_1 = 11;


std::string make_event()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\""
           ":0,\"delta\":{\"content\":\"" +
           std::to_string(now.count()) + "\"},\"finish_reason\":null}]}\n\n";
}


asio::awaitable<bool>
write_chunk(boost::beast::tcp_stream& stream, std::string data)
{
    const auto [failure, size] = co_await asio::async_write(
        stream, http::make_chunk(asio::buffer(data)), await_tuple);
    co_return !failure;
}


asio::awaitable<bool>
send_response(boost::beast::tcp_stream& stream, const bench_options& options)
{
    http::response<http::empty_body> header(http::status::ok, http_version_1_1);
    header.set(http::field::content_type, "text/event-stream");
    header.chunked(true);
    http::response_serializer<http::empty_body> serializer(header);
    co_await http::async_write_header(stream, serializer, await_tuple);
    asio::steady_timer timer(stream.get_executor());
    auto next_token_at = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < options.tokens_; ++i) {
        if (!co_await write_chunk(stream, make_event()))
            co_return false;
        next_token_at += options.token_interval_;
        timer.expires_at(next_token_at);
        co_await timer.async_wait(await_tuple);
    }
    if (!co_await write_chunk(stream, "data: [DONE]\n\n"))
        co_return false;
    const auto [failure, size] = co_await asio::async_write(
        stream, http::make_chunk_last(), await_tuple);
    co_return !failure;
}


asio::awaitable<void>
serve_connection(asio::ip::tcp::socket socket, const bench_options& options)
{
    socket.set_option(asio::ip::tcp::no_delay(true));
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> request;
        const auto [failure, size] =
            co_await http::async_read(stream, buffer, request, await_tuple);
        if (failure || !co_await send_response(stream, options))
            co_return;
    }
}


asio::awaitable<void> accept_connections(
    asio::ip::tcp::acceptor& acceptor, const bench_options& options)
{
    for (;;) {
        auto [failure, socket] = co_await acceptor.async_accept(await_tuple);
        if (failure)
            co_return;
        asio::co_spawn(
            acceptor.get_executor(),
            serve_connection(std::move(socket), options),
            asio::detached);
    }
}

} // namespace

int run_engine(const bench_options& options)
{
    asio::io_context context(1);
    asio::ip::tcp::acceptor acceptor(context, options.listen_);
    asio::co_spawn(
        context, accept_connections(acceptor, options), asio::detached);
    context.run();
    return 0;
}

} // namespace monsoondock::bench
