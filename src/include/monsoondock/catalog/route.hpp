#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/catalog/request_kind.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::catalog {

/// One of a route's deployments and its share of the requests.
struct weighted_deployment
{
    base::deployment_id deployment_;
    /// Relative to the weights of the route's other deployments; 0 excludes it.
    double weight_ = 1.0;
};


/// Destination and handling of the requests for one host name and path prefix.
struct route
{
    std::string name_;
    /// Name in the Host header, in lower case and without a port.
    std::string host_name_;
    /// Begins and ends with a slash.
    std::string path_prefix_;
    request_kind kind_ = request_kind::at_most_once;
    std::vector<weighted_deployment> deployments_;
    /// Maximum number of upstreams that may execute one request of a caller.
    unsigned max_attempts_ = 1;
    /// Time limit for the complete answer.
    std::chrono::milliseconds timeout_{0};
    /// Target for the time to the answer or to a stream's first event.
    std::chrono::milliseconds target_latency_{0};
    /// Target for the longest gap between two events of a stream.
    std::chrono::milliseconds target_event_gap_{0};
    /// 0 is the most urgent.
    unsigned priority_ = 0;
    /// True when callers need no API key.
    bool public_ = false;
};

} // namespace monsoondock::catalog
