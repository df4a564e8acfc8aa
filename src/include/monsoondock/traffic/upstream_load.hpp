#pragma once

#include <monsoondock/traffic/shared_host_limit.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace monsoondock::traffic {

/// Load counters of one upstream, shared by all threads of a daemon. Held by
/// shared_ptr from the snapshots and requests that use them.
struct upstream_load
{
    /// Requests that this daemon has in progress there.
    std::atomic<std::uint32_t> in_flight_{0};
    /// Requests that the upstream reported as running, with a lag.
    std::atomic<std::uint32_t> reported_running_{0};
    /// Requests that the upstream reported as queued, with a lag.
    std::atomic<std::uint32_t> reported_queued_{0};
    /// Value of in_flight_ when the last report was received.
    std::atomic<std::uint32_t> in_flight_at_report_{0};
    /// Set by a traffic thread when the upstream failed; the control thread
    /// clears it once it has new evidence.
    std::atomic<bool> suspect_{false};
    /// Limit that the upstream has named.
    shared_host_limit limit_;
};


/// Records a load report of an upstream.
inline void record_load_report(
    upstream_load& load, std::uint32_t running, std::uint32_t queued)
{
    load.reported_running_ = running;
    load.reported_queued_ = queued;
    load.in_flight_at_report_ = load.in_flight_.load();
}


/// Returns the estimated number of requests at the upstream: its last report,
/// corrected by the change of in_flight_ since then, and at least in_flight_.
inline std::uint32_t estimate_load(const upstream_load& load)
{
    const std::int64_t own = load.in_flight_;
    const std::int64_t reported =
        std::int64_t{load.reported_running_} + load.reported_queued_;
    const std::int64_t changed = own - load.in_flight_at_report_;
    return static_cast<std::uint32_t>(std::max(own, reported + changed));
}

} // namespace monsoondock::traffic
