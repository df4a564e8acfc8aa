#include "roles.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>

namespace monsoondock::bench {

namespace asio = boost::asio;

namespace {

using asio::ip::tcp;

constexpr auto await_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t buffer_bytes = 4096;

// Sockets of one relayed connection, shared by the copy loops of both
// directions.
struct relayed_connection
{
    tcp::socket caller_;
    tcp::socket upstream_;
};


asio::awaitable<void> copy_bytes(
    std::shared_ptr<relayed_connection> connection,
    tcp::socket& from,
    tcp::socket& to)
{
    std::array<char, buffer_bytes> bytes{};
    for (;;) {
        const auto [read_failure, size] =
            co_await from.async_read_some(asio::buffer(bytes), await_tuple);
        if (read_failure)
            break;
        const auto [write_failure, sent] = co_await asio::async_write(
            to, asio::buffer(bytes.data(), size), await_tuple);
        if (write_failure)
            break;
    }
    boost::system::error_code ignored;
    connection->caller_.close(ignored);
    connection->upstream_.close(ignored);
}


asio::awaitable<void>
forward_connection(tcp::socket socket, tcp::endpoint target)
{
    const auto executor = co_await asio::this_coro::executor;
    auto connection = std::make_shared<relayed_connection>(
        relayed_connection{std::move(socket), tcp::socket(executor)});
    const auto [failure] =
        co_await connection->upstream_.async_connect(target, await_tuple);
    if (failure)
        co_return;
    connection->caller_.set_option(tcp::no_delay(true));
    connection->upstream_.set_option(tcp::no_delay(true));
    asio::co_spawn(
        executor,
        copy_bytes(connection, connection->caller_, connection->upstream_),
        asio::detached);
    co_await copy_bytes(connection, connection->upstream_, connection->caller_);
}


asio::awaitable<void>
accept_connections(tcp::acceptor& acceptor, const tcp::endpoint& target)
{
    for (;;) {
        auto [failure, socket] = co_await acceptor.async_accept(await_tuple);
        if (failure)
            co_return;
        asio::co_spawn(
            acceptor.get_executor(),
            forward_connection(std::move(socket), target),
            asio::detached);
    }
}

} // namespace

int run_relay(const bench_options& options)
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, options.listen_);
    asio::co_spawn(
        context, accept_connections(acceptor, options.target_), asio::detached);
    context.run();
    return 0;
}

} // namespace monsoondock::bench
