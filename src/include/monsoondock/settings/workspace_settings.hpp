#pragma once

#include <monsoondock/settings/api_key_hash.hpp>

#include <cstdint>
#include <vector>

namespace monsoondock::settings {

/// Settings of one workspace. Rates hold for all data centres together.
template <template <class> class Wrap>
struct workspace_settings
{
    /// Hashes of the keys that name the workspace.
    Wrap<std::vector<api_key_hash>> api_key_hashes_;
    /// Requests a second.
    Wrap<double> request_rate_;
    /// Requests that may come at once above the rate.
    Wrap<std::uint64_t> request_burst_;
    /// Generated tokens a second.
    Wrap<double> token_rate_;
    /// Share of a full deployment, against the weights of other workspaces.
    Wrap<double> fair_share_weight_;
    /// Most requests that wait in one daemon.
    Wrap<std::uint64_t> max_queue_;
};

} // namespace monsoondock::settings
