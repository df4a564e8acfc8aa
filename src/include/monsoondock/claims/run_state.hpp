#pragma once

namespace monsoondock::claims {

/// Progress of an exchange with an upstream. The state stays with the exchange
/// and only moves forward.
enum class run_state
{
    /// No byte of the request has left this process.
    unsent,
    /// A byte may have left; no complete answer has arrived.
    maybe_sent,
    /// A complete answer of the upstream has arrived.
    answered
};


/// Whether the request of a refusal may have been executed, as the field run of
/// the refusal states it.
enum class execution_status
{
    /// No upstream has executed or will execute the request.
    not_run,
    /// An upstream may have executed it.
    unknown
};


/// Returns "not_run" or "unknown", the value of the field run of a refusal.
constexpr const char* to_string(execution_status s) noexcept
{
    return s == execution_status::not_run ? "not_run" : "unknown";
}


/// Returns the name of a run state for log lines.
constexpr const char* to_string(run_state s) noexcept
{
    switch (s) {
    case run_state::unsent:
        return "unsent";
    case run_state::maybe_sent:
        return "maybe_sent";
    case run_state::answered:
        return "answered";
    }
    return "maybe_sent";
}

} // namespace monsoondock::claims
