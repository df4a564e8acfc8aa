#pragma once

#include <chrono>

namespace monsoondock::settings {

/// Time bounds of one daemon.
struct daemon_timeouts
{
    /// Bound of each call to the platform but the watch.
    std::chrono::milliseconds platform_{};
    /// Longest wait of one watch call to the platform.
    std::chrono::milliseconds watch_{};
    /// Bound of a TCP connect to an upstream or a peer.
    std::chrono::milliseconds connect_{};
    /// Bound until the whole head of a request has arrived.
    std::chrono::milliseconds header_{};
    /// Bound until the whole body of a request has arrived.
    std::chrono::milliseconds body_{};
    /// Longest silence on a caller connection between two requests.
    std::chrono::milliseconds idle_{};
    /// Longest silence of an upstream while it answers.
    std::chrono::milliseconds upstream_idle_{};
    /// Time that callers may keep the answer of `GET /v1/entry-hosts`.
    std::chrono::milliseconds entry_host_ttl_{};
    /// Longest time that a planned stop waits for requests in progress.
    std::chrono::milliseconds shutdown_{};
};

} // namespace monsoondock::settings
