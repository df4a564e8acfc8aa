#include <monsoondock/groups/group_phase.hpp>

namespace monsoondock::groups {

const char* to_string(group_phase phase) noexcept
{
    switch (phase) {
    case group_phase::forming:
        return "forming";
    case group_phase::serving:
        return "serving";
    case group_phase::retiring:
        return "retiring";
    case group_phase::retired:
        break;
    }
    return "retired";
}


std::optional<group_phase> parse_group_phase(std::string_view name) noexcept
{
    for (const group_phase phase :
         {group_phase::forming,
          group_phase::serving,
          group_phase::retiring,
          group_phase::retired}) {
        if (name == to_string(phase))
            return phase;
    }
    return std::nullopt;
}

} // namespace monsoondock::groups
