#include <monsoondock/settings/deployment_kind.hpp>

namespace monsoondock::settings {

const char* to_string(deployment_kind kind) noexcept
{
    return kind == deployment_kind::model ? "model" : "service";
}

} // namespace monsoondock::settings
