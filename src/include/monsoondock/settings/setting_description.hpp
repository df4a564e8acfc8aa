#pragma once

#include <monsoondock/settings/level.hpp>

#include <string>
#include <vector>

namespace monsoondock::settings {

/// Description of one key of the schema, for documentation and messages.
struct setting_description
{
    std::string key_;
    /// Default in TOML notation.
    std::string default_;
    /// Type, unit and range.
    std::string allowed_;
    std::string meaning_;
    /// Levels that may set the key.
    std::vector<level> levels_;
};


/// Returns the descriptions of all keys, in the order of the schema.
std::vector<setting_description> describe_settings();

} // namespace monsoondock::settings
