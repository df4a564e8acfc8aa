#pragma once

#include "raw_value.hpp"

#include <string>

namespace monsoondock::settings::pvt {

/// Reads a value as TOML writes it. Text that is no TOML value counts as a
/// string without its quotes.
raw_value parse_raw_text(const std::string& text);

} // namespace monsoondock::settings::pvt
