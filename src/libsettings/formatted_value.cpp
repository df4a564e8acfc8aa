#include "convert.hpp"
#include "schema.hpp"

#include <monsoondock/settings/formatted_value.hpp>

namespace monsoondock::settings {

std::vector<formatted_value> format_values(const own_values& values)
{
    std::vector<formatted_value> formatted;
    pvt::for_each_setting([&](const auto& s, auto access) {
        const auto& value = access(values);
        if (value)
            formatted.push_back(
                {s.name(), to_toml_text(pvt::to_raw(*value)), {}, {}});
    });
    return formatted;
}


std::vector<formatted_value> format_values(const effective_values& values)
{
    std::vector<formatted_value> formatted;
    pvt::for_each_setting([&](const auto& s, auto access) {
        const auto& value = access(values);
        formatted.push_back(
            {s.name(),
             to_toml_text(pvt::to_raw(value.value_)),
             value.level_,
             value.path_});
    });
    return formatted;
}

} // namespace monsoondock::settings
