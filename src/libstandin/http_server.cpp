#include <monsoondock/standin/http_server.hpp>
#include <monsoondock/standin/no_throw.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace monsoondock::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t BODY_LIMIT_BYTES = std::uint64_t{4} * 1024 * 1024;

using connection = std::list<asio::ip::tcp::socket>::iterator;


bool is_control_request(const exchange& e)
{
    return path(e).starts_with("/standin/");
}


// Returns false when the connection must be closed.
asio::awaitable<bool> serve_request(
    http_server& server,
    const handler& handle,
    asio::ip::tcp::socket& socket,
    boost::beast::flat_buffer& buffer)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(BODY_LIMIT_BYTES);
    const auto [error, count] =
        co_await http::async_read(socket, buffer, parser, NO_THROW);
    if (error)
        co_return false;
    exchange e{socket, parser.release()};
    if (server.dead_ && !is_control_request(e))
        co_return false;
    co_await handle(e);
    co_return e.keep_alive_&& socket.is_open();
}


asio::awaitable<void>
serve_connection(http_server& server, const handler& handle, connection c)
{
    boost::beast::flat_buffer buffer;
    bool open = true;
    while (open)
        open = co_await serve_request(server, handle, *c, buffer);
    server.connections_.erase(c);
}

} // namespace

http_server::http_server(
    const asio::any_io_executor& executor,
    const asio::ip::tcp::endpoint& address)
    : acceptor_(executor, address)
{}


std::string address(const http_server& server)
{
    const auto local = server.acceptor_.local_endpoint();
    return local.address().to_string() + ":" + std::to_string(local.port());
}


asio::awaitable<void> serve(http_server& server, handler handle)
{
    for (;;) {
        auto [error, socket] = co_await server.acceptor_.async_accept(NO_THROW);
        if (error)
            continue;
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        server.connections_.push_back(std::move(socket));
        const connection c = std::prev(server.connections_.end());
        asio::co_spawn(
            server.acceptor_.get_executor(),
            serve_connection(server, handle, c),
            asio::detached);
    }
}


void drop_connections(http_server& server)
{
    boost::system::error_code ignored;
    for (auto& socket : server.connections_)
        socket.close(ignored);
}

} // namespace monsoondock::standin
