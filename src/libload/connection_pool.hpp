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

/// HTTP request with its whole body.
using request = boost::beast::http::request<boost::beast::http::string_body>;


/// Connection and what was read from it beyond the last answer.
struct connection
{
    explicit connection(const boost::asio::any_io_executor& executor)
        : stream_(executor)
    {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
};


/// Idle connections by address, kept for further requests.
struct connection_pool
{
    std::map<std::string, std::vector<std::unique_ptr<connection>>> idle_;
};


/// Sends q to address and reads the whole answer within timeout. A request
/// that may be sent again uses an idle connection and a fresh one when that
/// turns out to be closed; another request always uses a fresh one.
boost::asio::awaitable<send_outcome> send(
    connection_pool& pool,
    std::string address,
    request q,
    bool may_be_sent_again,
    std::chrono::milliseconds timeout);

} // namespace monsoondock::load::pvt
