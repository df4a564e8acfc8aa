#include "convert.hpp"
#include "schema.hpp"

#include <monsoondock/settings/setting_description.hpp>

namespace monsoondock::settings {

namespace {

std::vector<level> to_list(pvt::level_set levels)
{
    std::vector<level> list;
    for (int i = 0; i <= static_cast<int>(level::workspace); ++i) {
        if (levels.contains(static_cast<level>(i)))
            list.push_back(static_cast<level>(i));
    }
    return list;
}

} // namespace

std::vector<setting_description> describe_settings()
{
    std::vector<setting_description> all;
    pvt::for_each_setting([&](const auto& s, auto) {
        all.push_back(
            {s.name(),
             to_toml_text(pvt::to_raw(*s.field_.default_)),
             allowed(s.field_.rule_),
             std::string(s.field_.meaning_),
             to_list(s.levels_)});
    });
    return all;
}

} // namespace monsoondock::settings
