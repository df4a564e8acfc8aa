#pragma once

#include <monsoondock/settings/api_key_hash.hpp>

#include <cstdint>
#include <vector>

namespace monsoondock::settings {

/// Settings of one workspace. Rates are totals over all data centres.
template <template <class> class Wrap>
struct workspace_settings
{
    /// Hashes of the API keys that authenticate the workspace.
    Wrap<std::vector<api_key_hash>> api_key_hashes_;
    /// Requests per second.
    Wrap<double> request_rate_;
    /// Burst of requests allowed above the rate.
    Wrap<std::uint64_t> request_burst_;
    /// Generated tokens per second.
    Wrap<double> token_rate_;
    /// Weight of the workspace when it shares a fully loaded deployment with
    /// others.
    Wrap<double> fair_share_weight_;
    /// Maximum number of queued requests in one daemon.
    Wrap<std::uint64_t> max_queue_;
};

} // namespace monsoondock::settings
