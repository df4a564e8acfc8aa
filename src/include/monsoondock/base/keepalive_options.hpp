#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace monsoondock::base {

/// TCP keepalive and user-timeout settings, which decide when a connection
/// whose peer stopped responding is closed.
struct keepalive_options
{
    /// Idle time before the first keepalive probe, and interval between probes.
    std::chrono::seconds idle_{1};
    std::chrono::seconds interval_{1};
    /// Unacknowledged probes after which the connection is closed.
    int probes_ = 2;
    /// How long sent data may stay unacknowledged, or unsent because the peer
    /// does not read (TCP_USER_TIMEOUT); 0 for the limits of the system.
    std::chrono::milliseconds user_timeout_{2000};
};


/// Makes the kernel close a connection whose peer does not respond within the
/// given limits, even while no data is sent, and disables Nagle's algorithm.
/// Options that the system does not support are ignored.
void enable_keepalive(
    boost::asio::ip::tcp::socket& socket, const keepalive_options& options);

} // namespace monsoondock::base
