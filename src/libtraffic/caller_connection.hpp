#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace monsoondock::traffic::pvt {

/// Connection of one caller and its read buffer.
struct caller_connection
{
    explicit caller_connection(boost::asio::ip::tcp::socket socket)
        : stream_(std::move(socket))
    {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
};

} // namespace monsoondock::traffic::pvt
