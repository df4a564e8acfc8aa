#pragma once

#include <monsoondock/settings/settings_values.hpp>

#include <string>
#include <vector>

namespace monsoondock::settings {

/// One setting with its value as text, for output and comparison.
struct formatted_value
{
    /// Section and key, such as `limits.max_body_bytes`.
    std::string key_;
    /// The value in TOML notation.
    std::string text_;
    /// Level and node that the value comes from; built_in and empty for the
    /// values of a single node.
    level level_ = level::built_in;
    node_path path_;
};


/// Formats the values that a node sets, in the order of the schema.
std::vector<formatted_value> format_values(const own_values& values);


/// Formats all values in force, in the order of the schema.
std::vector<formatted_value> format_values(const effective_values& values);

} // namespace monsoondock::settings
