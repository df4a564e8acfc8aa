#pragma once

#include <chrono>
#include <cstdint>

namespace monsoondock::traffic {

/// Bounds on what callers and upstreams may ask of one daemon.
struct limits
{
    /// Largest request body, in bytes.
    std::uint64_t max_body_bytes_ = 0;
    /// Largest request head, in bytes.
    std::uint32_t max_header_bytes_ = 0;
    /// Most caller connections of the whole daemon.
    std::uint64_t max_connections_ = 0;
    /// Bound until the whole head of a request has arrived.
    std::chrono::milliseconds header_timeout_{};
    /// Bound until the whole body of a request has arrived.
    std::chrono::milliseconds body_timeout_{};
    /// Longest silence of a caller between two requests.
    std::chrono::milliseconds idle_timeout_{};
    /// Bound of a connect to an upstream.
    std::chrono::milliseconds connect_timeout_{};
    /// Longest silence of an upstream while it answers.
    std::chrono::milliseconds upstream_idle_timeout_{};
    /// Time that a caller may keep an answer of the entry-host list.
    std::chrono::milliseconds entry_host_ttl_{};
};

} // namespace monsoondock::traffic
