#pragma once

namespace monsoondock::traffic {

/// How far a request got on its way to an upstream.
enum class run_state
{
    /// No byte of it left, or the upstream said that it did not run it.
    unsent,
    /// Some of it may have left, and no whole answer came.
    maybe_sent,
    /// The upstream answered.
    answered
};


/// Returns what a refusal tells the caller: "not_run" only for unsent.
const char* to_caller_text(run_state state) noexcept;

} // namespace monsoondock::traffic
