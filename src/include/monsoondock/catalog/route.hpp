#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/catalog/request_kind.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::catalog {

/// Share of a route's requests that goes to one deployment.
struct weighted_deployment
{
    base::deployment_id deployment_;
    /// Relative to the weights of the route's other deployments; 0 takes none.
    double weight_ = 1.0;
};


/// Where the requests for one host name and path prefix go, and how.
struct route
{
    std::string name_;
    /// Name in the Host header, lower case, without a port.
    std::string host_name_;
    /// Begins and ends with a slash.
    std::string path_prefix_;
    request_kind kind_ = request_kind::at_most_once;
    std::vector<weighted_deployment> deployments_;
    /// Most upstreams that may run one attempt of a caller.
    unsigned max_attempts_ = 1;
    /// Longest time that a caller is kept waiting for the whole answer.
    std::chrono::milliseconds timeout_{0};
    /// Time to the answer, or to a stream's first event, that callers aim at.
    std::chrono::milliseconds target_latency_{0};
    /// Longest pause between two events that callers aim at.
    std::chrono::milliseconds target_event_gap_{0};
    /// 0 is the most urgent.
    unsigned priority_ = 0;
    /// True when callers need no key.
    bool public_ = false;
};

} // namespace monsoondock::catalog
