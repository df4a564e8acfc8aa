#pragma once

#include <monsoondock/settings/level.hpp>

#include <string>
#include <vector>

namespace monsoondock::settings {

/// One key of the schema in words.
struct setting_description
{
    std::string key_;
    /// Default as TOML writes it.
    std::string default_;
    /// Type, unit and range.
    std::string allowed_;
    std::string meaning_;
    /// Levels that may set the key.
    std::vector<level> levels_;
};


/// Returns the whole schema in its order.
std::vector<setting_description> describe_settings();

} // namespace monsoondock::settings
