#pragma once

#include <monsoondock/standin/exchange.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <list>

namespace monsoondock::standin {

/// Answers one request.
using handler = std::function<boost::asio::awaitable<void>(exchange&)>;


/// Listener of one address and the connections accepted on it.
struct http_server
{
    /// Binds address; port 0 takes a free one. Throws
    /// boost::system::system_error when the address is taken.
    http_server(
        const boost::asio::any_io_executor& executor,
        const boost::asio::ip::tcp::endpoint& address);

    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<boost::asio::ip::tcp::socket> connections_;
    /// While true every connection is closed without an answer; only requests
    /// to /standin/ are served.
    bool dead_ = false;
};


/// Returns "address:port" of the listener.
std::string address(const http_server& server);


/// Accepts connections and serves their requests one after the other. Does
/// not return; cancel by stopping the io_context.
boost::asio::awaitable<void> serve(http_server& server, handler handle);


/// Closes every open connection.
void drop_connections(http_server& server);

} // namespace monsoondock::standin
