#pragma once

#include "raw_value.hpp"

#include <string>

namespace monsoondock::settings::pvt {

/// Parses a value in TOML notation. Text that is not a TOML value is taken as a
/// string without quotes.
raw_value parse_raw_text(const std::string& text);

} // namespace monsoondock::settings::pvt
