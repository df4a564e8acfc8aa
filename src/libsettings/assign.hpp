#pragma once

#include "convert.hpp"

#include <monsoondock/settings/settings_values.hpp>

#include <optional>
#include <string_view>

namespace monsoondock::settings::pvt {

/// Sets the key `section.key` of values after checking type, range and level.
/// Returns the reason when the value is refused.
std::optional<refusal> assign(
    own_values& values, level at, std::string_view key, const raw_value& raw);


/// Removes the value of a key. Returns false for an unknown key.
bool clear(own_values& values, std::string_view key);


/// Returns the raw value of a key, or nothing when it is not set.
std::optional<raw_value> get(const own_values& values, std::string_view key);

} // namespace monsoondock::settings::pvt
