#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace monsoondock::base::test {

/// Bytes after which an endless server ends, so that a client which reads all
/// of them fails its test instead of running out of memory.
inline constexpr std::size_t max_endless_bytes = std::size_t{64} * 1024 * 1024;


/// Server for one connection. Reads part of a request, sends start, and then
/// part again and again until the client closes the connection or
/// max_endless_bytes have been sent.
class endless_server
{
public:
    endless_server(std::string start, std::string part)
        : start_(std::move(start)), part_(std::move(part)),
          thread_([this] { serve(); })
    {}

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;


    ~endless_server()
    {
        wait();
    }


    boost::asio::ip::tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }


    /// Waits for the end of the connection and returns the number of bytes that
    /// could be sent after the start.
    std::size_t wait()
    {
        if (thread_.joinable())
            thread_.join();
        return sent_;
    }

private:
    void serve()
    {
        boost::system::error_code failure;
        boost::asio::ip::tcp::socket socket = acceptor_.accept();
        std::array<char, 4096> request{};
        socket.read_some(boost::asio::buffer(request), failure);
        boost::asio::write(socket, boost::asio::buffer(start_), failure);
        while (sent_ < max_endless_bytes && !failure)
            sent_ +=
                boost::asio::write(socket, boost::asio::buffer(part_), failure);
    }


    std::string start_;
    std::string part_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_{
        context_, {boost::asio::ip::address_v4::loopback(), 0}};
    std::atomic<std::size_t> sent_{0};
    std::thread thread_;
};


/// One way in which a server sends bytes without end in place of a response,
/// with what the client may read of it.
struct endless_way
{
    const char* name_;
    std::string start_;
    std::string part_;
    std::size_t bound_;
};


/// Returns the ways that concern each client. The bound is that of a body.
inline std::vector<endless_way> endless_ways(std::size_t body_bytes)
{
    static constexpr std::size_t header_bytes = std::size_t{128} * 1024;
    const std::string filler(std::size_t{64} * 1024, 'a');
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string processing = "HTTP/1.1 102 Processing\r\n\r\n";
    return {
        {"status line", "HTTP/1.1 200 a", filler, header_bytes},
        {"header line", "HTTP/1.1 200 OK\r\nX: a", filler, header_bytes},
        {"informational", processing, processing, header_bytes},
        {"chunk header", chunked, std::string(4096, '0'), header_bytes},
        {"chunk extension", chunked + "5;a=", filler, header_bytes},
        {"trailers", chunked + "0\r\nX: a", filler, header_bytes},
        {"body", "HTTP/1.1 200 OK\r\n\r\n", filler, body_bytes}};
}

} // namespace monsoondock::base::test
