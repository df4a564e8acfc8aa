#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/settings/api_key_hash.hpp>

#include <vector>

namespace monsoondock::traffic {

/// A workspace and the hashes of its API keys.
struct workspace_row
{
    base::workspace_id workspace_;
    /// Hashes of the keys that name it; the keys themselves are kept nowhere.
    std::vector<settings::api_key_hash> key_hashes_;
};

} // namespace monsoondock::traffic
