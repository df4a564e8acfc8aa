#pragma once

namespace monsoondock::settings {

/// How an entry daemon decides whether a request is admitted.
enum class admission_rule
{
    /// By the number of requests that wait at the groups of its model.
    queue,
    /// By the predicted time to the first event.
    latency
};


/// Returns `queue` or `latency`.
const char* to_string(admission_rule rule) noexcept;

} // namespace monsoondock::settings
