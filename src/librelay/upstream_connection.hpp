#pragma once

#include "send_monitor.hpp"
#include "upstream_socket.hpp"

#include <monsoondock/base/boot_clock.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace monsoondock::relay::pvt {

/// Maximum number of bytes received from an upstream that are not parsed yet.
/// A header, the size and extensions of a chunk, and the trailer fields are
/// parsed when they are complete.
inline constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;


/// Connection to an upstream. It carries one exchange at a time and is reused
/// only after a complete response.
struct upstream_connection
{
    explicit upstream_connection(const boost::asio::any_io_executor& executor)
        : socket_(executor)
    {}

    upstream_socket socket_;
    boost::beast::flat_buffer buffer_{max_unparsed_bytes};
    /// Size in bytes of the response headers of the current try, those of
    /// informational responses included.
    std::size_t header_bytes_ = 0;
    /// Progress of what is sent to the upstream.
    send_monitor sending_;
    /// When the connection expires, because the upstream may close it.
    base::time_point usable_until_;
};


/// Returns true when an idle connection can be reused: it is open and holds no
/// unread data, which could not belong to a later request.
bool is_reusable(upstream_connection& connection);


/// Pool of idle connections by address and host. The host is part of the key
/// because the address of a removed host may be assigned to another one.
class connection_pool
{
public:
    /// Removes a reusable connection from the pool; returns null when there is
    /// none.
    std::shared_ptr<upstream_connection> acquire(
        const boost::asio::ip::tcp::endpoint& address,
        const std::string& host,
        base::time_point now);


    /// Adds a connection whose exchange ended with a complete response. Closes
    /// it when the pool is full.
    void
    put(const boost::asio::ip::tcp::endpoint& address,
        const std::string& host,
        std::shared_ptr<upstream_connection> connection);


    /// Closes connections that have expired, that their upstream has closed, or
    /// on which it has sent bytes.
    void close_expired(base::time_point now);

private:
    /// Maximum number of idle connections per host.
    static constexpr std::size_t max_idle_per_host = 16;

    using key = std::pair<boost::asio::ip::tcp::endpoint, std::string>;

    std::map<key, std::vector<std::shared_ptr<upstream_connection>>> idle_;
};

} // namespace monsoondock::relay::pvt
