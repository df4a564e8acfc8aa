#pragma once

#include "setting.hpp"

#include <monsoondock/settings/settings_values.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::settings::pvt {

/// Calls visit(setting, access) for each key of the section `workspace`. access
/// returns the member of a settings_values that holds the key.
template <class Visit>
void visit_workspace(const Visit& visit)
{
    using namespace std::chrono_literals;
    using std::chrono::milliseconds;
    visit(
        setting<std::vector<api_key_hash>>{
            "workspace",
            {"api_key_hashes",
             std::vector<api_key_hash>{},
             {},
             "Hashes of the API keys that name the workspace."},
            WORKSPACE_ONLY},
        [](auto& v) -> auto& { return v.workspace_.api_key_hashes_; });
    visit(
        setting<double>{
            "workspace",
            {"request_rate",
             10.0,
             {0.01, 100000.0},
             "Requests a second, all data centres together."},
            WORKSPACE_EVERYWHERE},
        [](auto& v) -> auto& { return v.workspace_.request_rate_; });
    visit(
        setting<std::uint64_t>{
            "workspace",
            {"request_burst",
             20,
             {1, 100000},
             "Requests that may come at once above the rate."},
            WORKSPACE_EVERYWHERE},
        [](auto& v) -> auto& { return v.workspace_.request_burst_; });
    visit(
        setting<double>{
            "workspace",
            {"token_rate",
             5000.0,
             {1.0, 10000000.0},
             "Generated tokens a second, all data centres together."},
            WORKSPACE_EVERYWHERE},
        [](auto& v) -> auto& { return v.workspace_.token_rate_; });
    visit(
        setting<double>{
            "workspace",
            {"fair_share_weight",
             1.0,
             {0.01, 1000.0},
             "Share of a full deployment, against the weights of other "
             "workspaces."},
            WORKSPACE_EVERYWHERE},
        [](auto& v) -> auto& { return v.workspace_.fair_share_weight_; });
    visit(
        setting<std::uint64_t>{
            "workspace",
            {"max_queue",
             100,
             {0, 100000},
             "Most requests that wait in one daemon."},
            WORKSPACE_EVERYWHERE},
        [](auto& v) -> auto& { return v.workspace_.max_queue_; });
}

} // namespace monsoondock::settings::pvt
