#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace monsoondock::traffic::pvt {

/// What the session of a caller is doing.
enum class caller_phase
{
    /// Waiting for the first byte of a request.
    idle,
    /// Reading a request.
    reading,
    /// Serving a request and writing its response.
    serving,
    /// Waiting for the caller to close the connection.
    closing
};


/// Connection of one caller and its read buffer.
struct caller_connection
{
    explicit caller_connection(boost::asio::ip::tcp::socket socket)
        : stream_(std::move(socket))
    {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    caller_phase phase_ = caller_phase::idle;
    /// True when the connection has carried a request.
    bool used_ = false;
    /// True when the head of the current response was written.
    bool response_begun_ = false;
    /// True when the end of the connection marks the end of the current
    /// response, since the caller's version of HTTP has no chunks.
    bool ends_with_connection_ = false;
    /// True when the connection is to be reset, see reset_on_close.
    bool resets_ = false;
};


/// Has the connection reset instead of closed in order, also by the kernel when
/// this process ends, or no longer. For a response whose end is the end of the
/// connection: until it is complete, nothing may look like its end.
void reset_on_close(caller_connection& caller, bool reset);

} // namespace monsoondock::traffic::pvt
