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

/// Sends the control thread's calls to model engines. Status connections are
/// kept open; each order takes a connection of its own. At most one status
/// call of an engine may be in progress at a time.
class engine_client
{
public:
    explicit engine_client(boost::asio::io_context& context);
    ~engine_client();


    /// Reads `GET /v1/status`. Returns the JSON text; problem unavailable when
    /// no whole answer came within timeout.
    boost::asio::awaitable<base::result<std::string>> get_status(
        boost::asio::ip::tcp::endpoint engine,
        std::chrono::milliseconds timeout);


    /// Sends an order. may_send is asked once more when the connection is
    /// open, right before the order leaves. Problem conflict: the engine
    /// refused it, or it was not sent; unavailable: it may have arrived.
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
    std::map<boost::asio::ip::tcp::endpoint, std::unique_ptr<connection>> kept_;
};

} // namespace monsoondock::daemon
