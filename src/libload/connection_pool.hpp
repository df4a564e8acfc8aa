#pragma once

#include "raw_answer.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsoondock::load::pvt {

/// HTTP request with its body in memory.
using request = boost::beast::http::request<boost::beast::http::string_body>;


/// Connection and the bytes read from it beyond the last answer.
struct connection
{
    explicit connection(const boost::asio::any_io_executor& executor)
        : stream_(executor)
    {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
};


/// Idle keep-alive connections, by address.
struct connection_pool
{
    std::map<std::string, std::vector<std::unique_ptr<connection>>> idle_;
};


/// Sends q to address and reads the complete answer. Connecting and the
/// exchange are each limited by timeout. A retryable request is sent on an idle
/// connection if there is one, and again on a new connection if the peer has
/// closed the idle one. Any other request always uses a new connection, because
/// it must not be sent twice.
boost::asio::awaitable<send_outcome> send(
    connection_pool& pool,
    std::string address,
    request q,
    bool retryable,
    std::chrono::milliseconds timeout);

} // namespace monsoondock::load::pvt
