#pragma once

#include <monsoondock/wire/drop_counters.hpp>

#include <cstdint>

namespace monsoondock::peer {

/// Totals since the service was created. Byte counts include the envelopes of
/// datagrams, but not IP and UDP headers.
struct peer_counters
{
    std::uint64_t datagrams_sent_ = 0;
    std::uint64_t datagrams_received_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    /// Datagrams that the operating system failed to send.
    std::uint64_t send_failures_ = 0;
    std::uint64_t requests_answered_ = 0;
    /// Requests that were invalid, truncated, timed out or above the connection
    /// limit, and connections that could not be accepted.
    std::uint64_t requests_refused_ = 0;
    wire::drop_counters drops_;
};

} // namespace monsoondock::peer
