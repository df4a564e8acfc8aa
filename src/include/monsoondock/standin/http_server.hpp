#pragma once

#include <monsoondock/standin/exchange.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <list>

namespace monsoondock::standin {

/// Coroutine that handles one request.
using handler = std::function<boost::asio::awaitable<void>(exchange&)>;


/// HTTP server on one address, with the connections accepted on it.
struct http_server
{
    /// Binds to address; port 0 selects a free port. Throws
    /// boost::system::system_error when the address is in use.
    http_server(
        const boost::asio::any_io_executor& executor,
        const boost::asio::ip::tcp::endpoint& address);

    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<boost::asio::ip::tcp::socket> connections_;
    /// Simulates a crashed process: connections are closed without a response,
    /// except for requests to /standin/.
    bool dead_ = false;
};


/// Returns the listening address as "address:port".
std::string address(const http_server& server);


/// Accepts connections and serves the requests of each one sequentially. Does
/// not complete; stop the io_context to cancel it.
boost::asio::awaitable<void> serve(http_server& server, handler handle);


/// Closes every open connection.
void drop_connections(http_server& server);

} // namespace monsoondock::standin
