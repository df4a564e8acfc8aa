#pragma once

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <utility>

namespace monsoondock::traffic::test {

/// How a host ends the connection of its answer.
enum class ending
{
    close,
    reset,
    /// Closes the listener and then the connection in order, as the kernel does
    /// for a process that is killed.
    killed
};


/// Host on a thread of its own that answers each request with the same text, as
/// it is, and then ends the connection.
class ending_host
{
public:
    ending_host(std::string answer, ending how)
        : answer_(std::move(answer)), ending_(how)
    {
        boost::asio::co_spawn(context_, accept_all(), boost::asio::detached);
        thread_ = std::thread([this] { context_.run(); });
    }

    ending_host(const ending_host&) = delete;
    ending_host& operator=(const ending_host&) = delete;


    ~ending_host()
    {
        context_.stop();
        thread_.join();
    }


    boost::asio::ip::tcp::endpoint address() const
    {
        return address_;
    }


    /// Returns the number of requests received.
    int requests() const
    {
        return requests_;
    }

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        const auto [failure, size] = co_await http::async_read(
            socket, buffer, request, base::await_tuple);
        if (failure)
            co_return;
        ++requests_;
        co_await boost::asio::async_write(
            socket, boost::asio::buffer(answer_), base::await_tuple);
        boost::system::error_code ignored;
        if (ending_ == ending::reset)
            socket.set_option(
                boost::asio::socket_base::linger(true, 0), ignored);
        if (ending_ == ending::killed)
            acceptor_.close(ignored);
        socket.close(ignored);
    }


    boost::asio::awaitable<void> accept_all()
    {
        for (;;) {
            auto [failure, socket] =
                co_await acceptor_.async_accept(base::await_tuple);
            if (failure)
                co_return;
            boost::asio::co_spawn(
                context_, serve(std::move(socket)), boost::asio::detached);
        }
    }


    const std::string answer_;
    const ending ending_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_{
        context_, {boost::asio::ip::address_v4::loopback(), 0}};
    const boost::asio::ip::tcp::endpoint address_ = acceptor_.local_endpoint();
    std::atomic<int> requests_{0};
    std::thread thread_;
};

} // namespace monsoondock::traffic::test
