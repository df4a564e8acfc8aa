#pragma once

#include <monsoondock/base/identifier.hpp>

#include <string>
#include <vector>

namespace monsoondock::traffic {

/// A workspace and the hashes of its API keys.
struct workspace_row
{
    base::workspace_id workspace_;
    /// SHA-256 of each key in lower-case hexadecimal digits.
    std::vector<std::string> key_hashes_;
};

} // namespace monsoondock::traffic
