#pragma once

#include <monsoondock/base/result.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace monsoondock::daemon {

/// HTTP client for the control thread's calls to model engines. Status calls
/// reuse connections; each order opens its own. At most one status call per
/// engine may be in progress at a time.
class engine_client
{
public:
    explicit engine_client(boost::asio::io_context& context);
    ~engine_client();


    /// Returns the JSON text of `GET /v1/status`. Fails with problem code
    /// unavailable when no complete response arrives in time; timeout covers
    /// connecting and the exchange separately.
    boost::asio::awaitable<base::result<std::string>> get_status(
        boost::asio::ip::tcp::endpoint engine,
        std::chrono::milliseconds timeout);


    /// Sends an order. timeout covers connecting and the exchange separately.
    /// may_send is called once the connection is open, right before the order
    /// is sent. Fails with problem code conflict when the engine refused the
    /// order or may_send returned false, and with unavailable when no complete
    /// response arrived; the engine may still have received the order.
    boost::asio::awaitable<base::result<base::done>> post_order(
        boost::asio::ip::tcp::endpoint engine,
        std::string json,
        std::chrono::milliseconds timeout,
        std::function<bool()> may_send);

private:
    struct connection;

    boost::asio::awaitable<base::result<std::string>> get_status_on(
        std::unique_ptr<connection> c,
        boost::asio::ip::tcp::endpoint engine,
        std::chrono::milliseconds timeout);

    boost::asio::io_context& context_;
    std::map<boost::asio::ip::tcp::endpoint, std::unique_ptr<connection>>
        idle_connections_;
};

} // namespace monsoondock::daemon
