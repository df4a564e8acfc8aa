#pragma once

namespace monsoondock::relay {

/// How a daemon decides whether a request is admitted.
enum class admission_rule
{
    /// By the number of requests that wait at the upstreams of its model.
    queue,
    /// By the predicted time to the first event; see admission::decide.
    latency
};

} // namespace monsoondock::relay
