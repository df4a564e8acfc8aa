#include <monsoondock/traffic/run_state.hpp>

namespace monsoondock::traffic {

const char* to_caller_text(run_state state) noexcept
{
    return state == run_state::unsent ? "not_run" : "unknown";
}

} // namespace monsoondock::traffic
