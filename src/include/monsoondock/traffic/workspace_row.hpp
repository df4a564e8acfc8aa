#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/settings/api_key_hash.hpp>

#include <vector>

namespace monsoondock::traffic {

/// A workspace, the hashes of its API keys and this daemon's part of its
/// limits.
struct workspace_row
{
    base::workspace_id workspace_;
    /// Hashes of the keys that name it; the keys themselves are kept nowhere.
    std::vector<settings::api_key_hash> key_hashes_;
    /// Requests a second that this daemon admits.
    double request_rate_ = 0;
    /// Requests that this daemon admits at once; below 1 counts as 1.
    double request_burst_ = 0;
};

} // namespace monsoondock::traffic
