#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/settings/api_key_hash.hpp>

#include <vector>

namespace monsoondock::traffic {

/// A workspace, the hashes of its API keys and this daemon's share of its
/// request limits.
struct workspace_row
{
    base::workspace_id workspace_;
    /// Hashes of its API keys; the keys themselves are never stored.
    std::vector<settings::api_key_hash> key_hashes_;
    /// Requests per second that this daemon admits.
    double request_rate_ = 0;
    /// Burst size in requests; values below 1 count as 1.
    double request_burst_ = 0;
};

} // namespace monsoondock::traffic
