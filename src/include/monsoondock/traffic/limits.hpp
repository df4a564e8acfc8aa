#pragma once

#include <chrono>
#include <cstdint>

namespace monsoondock::traffic {

/// Size limits, connection limits and time-outs of one daemon.
struct limits
{
    /// Largest request body, in bytes.
    std::uint64_t max_body_bytes_ = 0;
    /// Largest request head, in bytes.
    std::uint32_t max_header_bytes_ = 0;
    /// Maximum number of caller connections of the daemon, over all threads.
    std::uint64_t max_connections_ = 0;
    /// Time-out for receiving a complete request head.
    std::chrono::milliseconds header_timeout_{};
    /// Time-out for receiving a complete request body.
    std::chrono::milliseconds body_timeout_{};
    /// Time after which a connection without a request in progress is closed;
    /// also the time-out of each write to a caller.
    std::chrono::milliseconds idle_timeout_{};
    /// Time-out for connecting to an upstream; also used for probing a group
    /// after a failed exchange.
    std::chrono::milliseconds connect_timeout_{};
    /// Time without data from a group after which another one is sought. The
    /// group is given up when that is granted or the group is gone. For a call
    /// of a plain service it limits the complete exchange after connecting.
    std::chrono::milliseconds upstream_idle_timeout_{};
    /// Time for which a caller may cache the list of entry hosts.
    std::chrono::milliseconds entry_host_ttl_{};
};

} // namespace monsoondock::traffic
