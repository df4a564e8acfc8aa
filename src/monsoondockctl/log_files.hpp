#pragma once

#include "request_timeline.hpp"

#include <optional>
#include <string>
#include <vector>

namespace monsoondockctl {

/// Reads log files; "-" stands for standard input. When a file cannot be read,
/// prints its name to standard error and returns nothing.
std::optional<std::vector<log_line>>
read_logs(const std::vector<std::string>& names);

} // namespace monsoondockctl
