#include "convert.hpp"
#include "schema.hpp"

#include <monsoondock/settings/shown_value.hpp>

namespace monsoondock::settings {

std::vector<shown_value> show(const own_values& values)
{
    std::vector<shown_value> shown;
    pvt::for_each_setting([&](const auto& s, auto access) {
        const auto& value = access(values);
        if (value)
            shown.push_back(
                {s.name(), to_toml_text(pvt::to_raw(*value)), {}, {}});
    });
    return shown;
}


std::vector<shown_value> show(const effective_values& values)
{
    std::vector<shown_value> shown;
    pvt::for_each_setting([&](const auto& s, auto access) {
        const auto& value = access(values);
        shown.push_back(
            {s.name(),
             to_toml_text(pvt::to_raw(value.value_)),
             value.level_,
             value.path_});
    });
    return shown;
}

} // namespace monsoondock::settings
