#pragma once

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace monsoondock::base::test {

/// Server on a thread of its own that sends the texts of a script as they are,
/// one for each request in the order of their arrival. It keeps connections
/// open until the script has ended.
class raw_server
{
public:
    explicit raw_server(std::vector<std::string> script)
        : script_(std::move(script))
    {
        boost::asio::co_spawn(context_, accept_all(), boost::asio::detached);
        thread_ = std::thread([this] { context_.run(); });
    }

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;


    ~raw_server()
    {
        context_.stop();
        thread_.join();
    }


    boost::asio::ip::tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }


    /// Returns the number of requests received.
    std::size_t requests() const
    {
        return requests_;
    }


    /// Returns the number of connections accepted.
    std::size_t connections() const
    {
        return connections_;
    }

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request_parser<http::string_body> request;
            const auto [failure, size] =
                co_await http::async_read(socket, buffer, request, await_tuple);
            if (failure)
                co_return;
            const std::size_t number = requests_++;
            if (number >= script_.size())
                co_return;
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(script_[number]), await_tuple);
        }
    }


    boost::asio::awaitable<void> accept_all()
    {
        for (;;) {
            auto [failure, socket] =
                co_await acceptor_.async_accept(await_tuple);
            if (failure)
                co_return;
            ++connections_;
            boost::asio::co_spawn(
                context_, serve(std::move(socket)), boost::asio::detached);
        }
    }


    std::vector<std::string> script_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_{
        context_, {boost::asio::ip::address_v4::loopback(), 0}};
    std::atomic<std::size_t> requests_{0};
    std::atomic<std::size_t> connections_{0};
    std::thread thread_;
};

} // namespace monsoondock::base::test
