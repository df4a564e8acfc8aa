#include <monsoondock/settings/level.hpp>

namespace monsoondock::settings {

const char* to_string(level l) noexcept
{
    switch (l) {
    case level::built_in:
        return "built_in";
    case level::organisation:
        return "organisation";
    case level::region:
        return "region";
    case level::data_centre:
        return "data_centre";
    case level::deployment:
        return "deployment";
    case level::host_groups:
        return "host_groups";
    case level::workspace:
        break;
    }
    return "workspace";
}

} // namespace monsoondock::settings
