#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/routing/gcra.hpp>
#include <monsoondock/traffic/workspace_row.hpp>

#include <chrono>
#include <map>
#include <mutex>

namespace monsoondock::traffic::pvt {

/// One request limiter for each workspace, shared by the traffic threads of a
/// daemon. Limiters outlive snapshots and are kept until the daemon ends.
class request_limiters
{
public:
    /// Admits one request of the workspace with the rate and burst of row,
    /// which replace those used before. Returns zero when it is admitted, else
    /// the delay until one would be, without consuming anything.
    std::chrono::nanoseconds
    take(const workspace_row& row, base::time_point now);

private:
    struct limiter
    {
        double rate_;
        double burst_;
        routing::gcra gcra_;
    };

    std::mutex mutex_;
    std::map<base::workspace_id, limiter> limiters_;
};

} // namespace monsoondock::traffic::pvt
