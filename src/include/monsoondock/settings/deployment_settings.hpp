#pragma once

#include <monsoondock/settings/deployment_kind.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::settings {

/// Settings of one deployment. Wrap holds each value: std::optional for the
/// values of one node, sourced for values in force.
template <template <class> class Wrap>
struct deployment_settings
{
    Wrap<deployment_kind> kind_;
    /// False when a call may run at most once.
    Wrap<bool> idempotent_;
    /// Hosts that together hold one copy of the model.
    Wrap<std::uint64_t> hosts_per_group_;
    /// Fewest groups in each data centre.
    Wrap<std::uint64_t> min_groups_;
    /// Most groups in each data centre.
    Wrap<std::uint64_t> max_groups_;
    /// Free hosts kept in each fabric domain for repair.
    Wrap<std::uint64_t> spares_;
    /// Cost of a second in which a wanted group does not serve.
    Wrap<double> weight_group_downtime_;
    /// Cost of a second in which the accelerators of a group stand idle.
    Wrap<double> weight_stranded_accelerators_;
    /// Time for which evidence that a host lives lets its group serve.
    Wrap<std::chrono::milliseconds> evidence_lease_;
    /// Longest time that a leaving group may take to finish its requests.
    Wrap<std::chrono::milliseconds> drain_timeout_;
    /// Retries allowed as a share of the requests that succeed.
    Wrap<double> retry_budget_;
};

} // namespace monsoondock::settings
