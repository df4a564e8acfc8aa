#pragma once

#include <monsoondock/claims/run_state.hpp>

namespace monsoondock::traffic {

/// How far a request got on its way to an upstream.
using claims::run_state;


/// Returns the value that a refusal reports to the caller: "not_run" for
/// unsent, else "unknown".
const char* to_caller_text(run_state state) noexcept;

} // namespace monsoondock::traffic
