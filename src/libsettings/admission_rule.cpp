#include <monsoondock/settings/admission_rule.hpp>

namespace monsoondock::settings {

const char* to_string(admission_rule rule) noexcept
{
    return rule == admission_rule::queue ? "queue" : "latency";
}

} // namespace monsoondock::settings
