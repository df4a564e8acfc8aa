#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>

namespace monsoondock::traffic::pvt {

/// Maximum number of bytes received from an upstream that are not parsed yet.
/// The size and extensions of a chunk, and the trailer fields, are parsed when
/// they are complete.
inline constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;
/// Maximum size of the header of a response.
inline constexpr std::uint32_t max_response_header_bytes = 16 * 1024;


/// Connection to an upstream. It carries one exchange at a time and is returned
/// to the pool only after a complete response.
struct upstream_connection
{
    explicit upstream_connection(const boost::asio::any_io_executor& executor)
        : stream_(executor)
    {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_{max_unparsed_bytes};
    /// True when it has carried an exchange before.
    bool reused_ = false;
};


/// Connects to address. Returns null on failure or time-out.
boost::asio::awaitable<std::unique_ptr<upstream_connection>> connect_upstream(
    boost::asio::ip::tcp::endpoint address, std::chrono::milliseconds timeout);


/// Returns true when an idle connection is open and has no unread data.
/// Unsolicited data must not be taken for the response to the next request.
bool is_reusable(upstream_connection& c);

} // namespace monsoondock::traffic::pvt
