#pragma once

#include "setting.hpp"

#include <monsoondock/settings/settings_values.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::settings::pvt {

/// Calls visit(setting, access) for each key of the section `deployment`.
/// access returns the member of a settings_values that holds the key.
template <class Visit>
void visit_deployment(const Visit& visit)
{
    using namespace std::chrono_literals;
    using std::chrono::milliseconds;
    visit(
        setting<deployment_kind>{
            "deployment",
            {"kind",
             deployment_kind::model,
             {},
             "What the deployment serves. Each deployment must set it."},
            DEPLOYMENT_ONLY},
        [](auto& v) -> auto& { return v.deployment_.kind_; });
    visit(
        setting<bool>{
            "deployment",
            {"idempotent",
             false,
             {},
             "Whether a call may run more than once. Each deployment must set "
             "it."},
            DEPLOYMENT_ONLY},
        [](auto& v) -> auto& { return v.deployment_.idempotent_; });
    visit(
        setting<std::uint64_t>{
            "deployment",
            {"hosts_per_group",
             1,
             {1, 64},
             "Hosts that together hold one copy of the model."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.deployment_.hosts_per_group_; });
    visit(
        setting<std::uint64_t>{
            "deployment",
            {"min_groups",
             1,
             {0, 4096},
             "Fewest replica groups in each data centre."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.deployment_.min_groups_; });
    visit(
        setting<std::uint64_t>{
            "deployment",
            {"max_groups",
             64,
             {0, 4096},
             "Most replica groups in each data centre."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.deployment_.max_groups_; });
    visit(
        setting<std::uint64_t>{
            "deployment",
            {"spares",
             1,
             {0, 256},
             "Free hosts kept in each fabric domain for repair."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.deployment_.spares_; });
    visit(
        setting<double>{
            "deployment",
            {"weight_group_downtime",
             1.0,
             {0.0, 1000.0},
             "Cost of a second in which a wanted group does not serve."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.deployment_.weight_group_downtime_; });
    visit(
        setting<double>{
            "deployment",
            {"weight_stranded_accelerators",
             1.0,
             {0.0, 1000.0},
             "Cost of a second in which the accelerators of a group stand "
             "idle."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& {
            return v.deployment_.weight_stranded_accelerators_;
        });
    visit(
        setting<milliseconds>{
            "deployment",
            {"evidence_lease",
             8s,
             {4s, 8s},
             "Time for which evidence that a host lives lets its group serve."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.deployment_.evidence_lease_; });
    visit(
        setting<milliseconds>{
            "deployment",
            {"drain_timeout",
             5min,
             {0ms, 1h},
             "Longest time that a leaving group may take to finish its "
             "requests."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.deployment_.drain_timeout_; });
    visit(
        setting<double>{
            "deployment",
            {"retry_budget",
             0.1,
             {0.0, 1.0},
             "Retries allowed as a share of the requests that succeed."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.deployment_.retry_budget_; });
}

} // namespace monsoondock::settings::pvt
