#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/catalog/engine.hpp>

#include <chrono>
#include <optional>

namespace monsoondock::catalog {

/// A set of interchangeable upstreams: hosts that run a model engine, or a
/// plain service.
struct deployment
{
    base::deployment_id id_;
    /// Connections that one upstream host accepts in total.
    unsigned max_connections_ = 0;
    /// Time for which a host is cold after its start or an evacuation.
    std::chrono::milliseconds cold_time_{0};
    /// Requests a second that a cold host accepts from all daemons together; 0
    /// when cold hosts need no limit.
    double cold_requests_per_second_ = 0;
    /// Present for model engines only.
    std::optional<engine> engine_;
};

} // namespace monsoondock::catalog
