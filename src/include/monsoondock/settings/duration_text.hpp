#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::settings {

/// Parses a duration with its unit: `250ms`, `5s`, `1.5s`, `2min`, `6h` or
/// `7d`. Rounds to a millisecond. Returns nothing for another unit, a missing
/// one, a sign, an exponent or a number too large.
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);


/// Formats a duration in the largest unit that gives a whole number.
std::string duration_text(std::chrono::milliseconds length);

} // namespace monsoondock::settings
