#pragma once

#include <chrono>

namespace monsoondock::settings {

/// Timeouts of one daemon.
struct daemon_timeouts
{
    /// Timeout of each call to the platform except the watch.
    std::chrono::milliseconds platform_{};
    /// Maximum time that one watch call to the platform waits for a change.
    std::chrono::milliseconds watch_{};
    /// Timeout of a TCP connect to an upstream or a peer.
    std::chrono::milliseconds connect_{};
    /// Timeout for receiving the whole head of a request.
    std::chrono::milliseconds header_{};
    /// Timeout for receiving the whole body of a request.
    std::chrono::milliseconds body_{};
    /// Idle timeout of a caller connection between two requests.
    std::chrono::milliseconds idle_{};
    /// Maximum time without data from a group during a response, and of a
    /// complete exchange with a host of a plain service.
    std::chrono::milliseconds upstream_idle_{};
    /// Time for which callers may cache the response of
    /// `GET /v1/entry-hosts`.
    std::chrono::milliseconds entry_host_ttl_{};
    /// Maximum time that a shutdown waits for requests in progress.
    std::chrono::milliseconds shutdown_{};
};

} // namespace monsoondock::settings
