#pragma once

namespace monsoondock::admission {

/// Why a request is refused.
enum class refusal_reason
{
    /// No upstream can begin to respond before the deadline.
    too_late,
    /// Requests are queued at every upstream, and the workspace has got more
    /// than its share lately.
    over_share,
    /// Requests are queued at every upstream, so that those which join the
    /// queue are late.
    queue_full
};


/// Returns the name of a reason as it appears in logs and metrics.
const char* to_string(refusal_reason reason) noexcept;

} // namespace monsoondock::admission
