#include <monsoondock/membership/entry_mode.hpp>
#include <monsoondock/membership/member_state.hpp>

namespace monsoondock::membership {

const char* to_string(member_state state) noexcept
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}


const char* to_string(entry_mode mode) noexcept
{
    switch (mode) {
    case entry_mode::open:
        return "open";
    case entry_mode::draining:
        return "draining";
    case entry_mode::detouring:
        break;
    }
    return "detouring";
}

} // namespace monsoondock::membership
