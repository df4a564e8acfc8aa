#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace monsoondock::base {

/// When a connection that has gone silent counts as lost.
struct silence_bounds
{
    /// Time without traffic after which probes begin, and between two probes.
    std::chrono::seconds idle_{1};
    std::chrono::seconds interval_{1};
    /// Probes without an answer.
    int probes_ = 2;
    /// How long sent data may stay unacknowledged.
    std::chrono::milliseconds unacknowledged_{2000};
};


/// Has the kernel end a connection that is silent for longer than the bounds,
/// also while nothing is sent, and send small writes at once. Options that the
/// system does not know are left out.
void detect_silence(
    boost::asio::ip::tcp::socket& socket, const silence_bounds& bounds);

} // namespace monsoondock::base
