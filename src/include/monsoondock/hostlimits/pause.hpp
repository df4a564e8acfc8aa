#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace monsoondock::hostlimits {

/// Longest pause that an upstream can ask for. Longer ones are shortened to it,
/// so that a malformed value does not exclude an upstream for good.
inline constexpr std::chrono::minutes max_pause{5};


/// Returns the pause that a Retry-After field in seconds asks for, at most
/// max_pause. Fractions are allowed. Returns nothing when the text is not a
/// number of seconds greater than 0.
std::optional<std::chrono::milliseconds>
parse_retry_after(std::string_view text);

} // namespace monsoondock::hostlimits
