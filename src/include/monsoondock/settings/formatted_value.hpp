#pragma once

#include <monsoondock/settings/settings_values.hpp>

#include <string>
#include <vector>

namespace monsoondock::settings {

/// One value in text, for people and for comparisons.
struct formatted_value
{
    /// Section and key, such as `limits.max_body_bytes`.
    std::string key_;
    /// The value as TOML writes it.
    std::string text_;
    /// Level and node that the value comes from. For the values of one node
    /// these are built_in and empty.
    level level_ = level::built_in;
    node_path path_;
};


/// Returns the values that a node sets, in the order of the schema.
std::vector<formatted_value> format_values(const own_values& values);


/// Returns all values in force, in the order of the schema.
std::vector<formatted_value> format_values(const effective_values& values);

} // namespace monsoondock::settings
