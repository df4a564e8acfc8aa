#pragma once

#include <monsoondock/wire/drop_counters.hpp>

#include <cstdint>

namespace monsoondock::peer {

/// Totals since the service was made. Bytes are those of the datagrams with
/// their envelopes, without IP and UDP headers.
struct peer_counters
{
    std::uint64_t datagrams_sent_ = 0;
    std::uint64_t datagrams_received_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    /// Datagrams that the host's network refused to take.
    std::uint64_t send_failures_ = 0;
    std::uint64_t requests_answered_ = 0;
    /// Requests that were dropped, cut short or too slow.
    std::uint64_t requests_refused_ = 0;
    wire::drop_counters drops_;
};

} // namespace monsoondock::peer
