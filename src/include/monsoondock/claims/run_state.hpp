#pragma once

namespace monsoondock::claims {

/// How far an exchange with an upstream has come. It rides with the exchange
/// and only ever moves forward.
enum class run_state
{
    /// No byte of the request has left this process.
    unsent,
    /// A byte may have left; no complete answer has come.
    maybe_sent,
    /// A complete answer of the upstream is here.
    answered
};


/// What a refusal says about its request.
enum class run_statement
{
    /// No upstream has run or will run the request.
    not_run,
    /// An upstream may have run it.
    unknown
};


/// Returns "not_run" or "unknown", as the field run of a refusal has it.
constexpr const char* to_string(run_statement s) noexcept
{
    return s == run_statement::not_run ? "not_run" : "unknown";
}


/// Returns the name of a run state as logs have it.
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
