#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace monsoondockctl {

/// Time of day of a log line.
using log_time = std::chrono::sys_time<std::chrono::milliseconds>;


/// Reads a time of day as the logs have it, for instance
/// 2026-12-04T10:00:02.500Z. Returns nothing when the text has another form.
std::optional<log_time> parse_log_time(const std::string& text);

} // namespace monsoondockctl
