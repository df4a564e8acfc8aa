#pragma once

#include "peek_socket.hpp"

#include <boost/asio/compose.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>
#include <utility>

namespace monsoondock::relay::pvt {

/// Call that was told of the end of a connection.
enum class end_source
{
    /// The connection is not known to have ended.
    none,
    read,
    write,
    /// A look at what can be read, without reading it.
    peek
};


/// How the peer ended a connection. The kernel reports a failure to one call
/// only and answers later reads with an end of file, as after an orderly close.
struct connection_end
{
    /// `eof` after an orderly close.
    boost::system::error_code failure_;
    end_source source_ = end_source::none;
};


/// TCP connection to an upstream. All reads, writes and looks at its content go
/// through this class, which keeps how the connection ended.
class upstream_socket
{
public:
    using executor_type = boost::asio::ip::tcp::socket::executor_type;


    explicit upstream_socket(const executor_type& executor) : socket_(executor)
    {}


    executor_type get_executor()
    {
        return socket_.get_executor();
    }


    /// Returns the socket, to connect, configure, cancel and close it.
    boost::asio::ip::tcp::socket& next_layer()
    {
        return socket_;
    }


    /// Returns the first end that a call was told of.
    const connection_end& end() const
    {
        return end_;
    }


    /// Reads as Asio's AsyncReadStream. Where an earlier call was told of a
    /// failure, the end of what can be read is that failure, not an end of
    /// file.
    template <class Buffers, class Token>
    auto async_read_some(const Buffers& buffers, Token&& token)
    {
        return boost::asio::
            async_compose<Token, void(boost::system::error_code, std::size_t)>(
                [this, buffers, started = false](
                    auto& self,
                    boost::system::error_code failure = {},
                    std::size_t size = 0) mutable {
                    if (!std::exchange(started, true)) {
                        socket_.async_read_some(buffers, std::move(self));
                        return;
                    }
                    record_end(failure, end_source::read);
                    self.complete(known_end(failure), size);
                },
                token,
                socket_);
    }


    /// Writes as Asio's AsyncWriteStream.
    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        return boost::asio::
            async_compose<Token, void(boost::system::error_code, std::size_t)>(
                [this, buffers, started = false](
                    auto& self,
                    boost::system::error_code failure = {},
                    std::size_t size = 0) mutable {
                    if (!std::exchange(started, true)) {
                        socket_.async_write_some(buffers, std::move(self));
                        return;
                    }
                    record_end(failure, end_source::write);
                    self.complete(failure, size);
                },
                token,
                socket_);
    }


    /// Checks for data without reading it and without blocking.
    socket_content peek();


    /// Returns what can be read, up to max_peeked_bytes, without reading it.
    std::string peek_text();

private:
    void record_end(
        const boost::system::error_code& failure, end_source source) noexcept;


    // Returns how the connection ended, if it has.
    boost::system::error_code
    known_end(const boost::system::error_code& failure) const noexcept;


    boost::asio::ip::tcp::socket socket_;
    connection_end end_;
};


/// Returns the name of an end or of its source as it appears in logs.
const char* to_string(const connection_end& end) noexcept;
const char* to_string(end_source source) noexcept;

} // namespace monsoondock::relay::pvt
