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

struct relayed_pair
{
    tcp::socket caller_;
    tcp::socket upstream_;
};


asio::awaitable<void> copy_bytes(
    std::shared_ptr<relayed_pair> pair, tcp::socket& from, tcp::socket& to)
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
    pair->caller_.close(ignored);
    pair->upstream_.close(ignored);
}


asio::awaitable<void> serve(tcp::socket socket, tcp::endpoint target)
{
    const auto executor = co_await asio::this_coro::executor;
    auto pair = std::make_shared<relayed_pair>(
        relayed_pair{std::move(socket), tcp::socket(executor)});
    const auto [failure] =
        co_await pair->upstream_.async_connect(target, await_tuple);
    if (failure)
        co_return;
    pair->caller_.set_option(tcp::no_delay(true));
    pair->upstream_.set_option(tcp::no_delay(true));
    asio::co_spawn(
        executor,
        copy_bytes(pair, pair->caller_, pair->upstream_),
        asio::detached);
    co_await copy_bytes(pair, pair->upstream_, pair->caller_);
}


asio::awaitable<void>
accept_all(tcp::acceptor& acceptor, const tcp::endpoint& target)
{
    for (;;) {
        auto [failure, socket] = co_await acceptor.async_accept(await_tuple);
        if (failure)
            co_return;
        asio::co_spawn(
            acceptor.get_executor(),
            serve(std::move(socket), target),
            asio::detached);
    }
}

} // namespace

int run_relay(const bench_options& options)
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, options.listen_);
    asio::co_spawn(
        context, accept_all(acceptor, options.target_), asio::detached);
    context.run();
    return 0;
}

} // namespace monsoondock::bench
