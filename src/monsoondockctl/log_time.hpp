#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace monsoondockctl {

/// Time of a log line in UTC, to the millisecond.
using log_time = std::chrono::sys_time<std::chrono::milliseconds>;


/// Parses the time of a log line, for example 2026-12-04T10:00:02.500Z. Returns
/// nothing when the text has another format.
std::optional<log_time> parse_log_time(const std::string& text);

} // namespace monsoondockctl
