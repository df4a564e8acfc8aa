#pragma once

#include <atomic>
#include <cstdint>

namespace monsoondock::traffic {

/// Counts of one upstream that all threads of a daemon share. They live as
/// long as any snapshot or request that refers to them.
struct upstream_load
{
    /// Requests that this daemon has in progress there.
    std::atomic<std::uint32_t> in_flight_{0};
    /// Requests that the upstream reported as running, with a lag.
    std::atomic<std::uint32_t> reported_running_{0};
    /// Requests that the upstream reported as queued, with a lag.
    std::atomic<std::uint32_t> reported_queued_{0};
    /// Set by a traffic thread when the upstream failed; the control thread
    /// clears it once it has new evidence.
    std::atomic<bool> suspect_{false};
};

} // namespace monsoondock::traffic
