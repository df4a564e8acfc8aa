#pragma once

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/bounded_response_parser.hpp>
#include <monsoondock/base/status_class.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <optional>

namespace monsoondock::base {

/// What a response may have at most, in bytes.
struct response_limits
{
    /// The header, the informational responses before it, and the trailers.
    std::uint32_t header_bytes_ = 0;
    std::uint64_t body_bytes_ = 0;
};


/// Reads the status line and header of a response into a new parser.
/// Informational responses before it are skipped; the error is `header_limit`
/// when there are too many.
template <class Stream, class Body>
boost::asio::awaitable<boost::system::error_code> read_response_header(
    Stream& stream,
    boost::beast::flat_buffer& buffer,
    std::optional<bounded_response_parser<Body>>& parser,
    response_limits limits)
{
    namespace http = boost::beast::http;
    std::size_t read_bytes = 0;
    for (;;) {
        parser.emplace(limits.header_bytes_);
        parser->body_limit(limits.body_bytes_);
        const auto [failure, size] = co_await http::async_read_header(
            stream, buffer, *parser, await_tuple);
        if (failure)
            co_return failure;
        if (status_class_of(parser->get()) != http::status_class::informational)
            co_return boost::system::error_code();
        read_bytes += size;
        if (read_bytes > limits.header_bytes_)
            co_return make_error_code(http::error::header_limit);
    }
}


/// Reads a complete response into a new parser; see read_response_header.
template <class Stream, class Body>
boost::asio::awaitable<boost::system::error_code> read_response(
    Stream& stream,
    boost::beast::flat_buffer& buffer,
    std::optional<bounded_response_parser<Body>>& parser,
    response_limits limits)
{
    const boost::system::error_code header_failure =
        co_await read_response_header(stream, buffer, parser, limits);
    if (header_failure)
        co_return header_failure;
    const auto [failure, size] = co_await boost::beast::http::async_read(
        stream, buffer, *parser, await_tuple);
    co_return failure;
}

} // namespace monsoondock::base
