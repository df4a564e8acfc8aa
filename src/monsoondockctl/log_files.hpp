#pragma once

#include "request_story.hpp"

#include <optional>
#include <string>
#include <vector>

namespace monsoondockctl {

/// Reads log files, "-" being standard input. Prints the first that can't be
/// read to standard error and returns nothing then.
std::optional<std::vector<log_line>>
read_logs(const std::vector<std::string>& names);

} // namespace monsoondockctl
