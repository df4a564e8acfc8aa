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
};

} // namespace monsoondock::traffic::pvt
