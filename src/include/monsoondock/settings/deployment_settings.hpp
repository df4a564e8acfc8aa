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
    /// Number of hosts in a replica group, which together hold one copy of
    /// the model.
    Wrap<std::uint64_t> hosts_per_group_;
    /// Minimum number of groups in each data centre.
    Wrap<std::uint64_t> min_groups_;
    /// Maximum number of groups in each data centre.
    Wrap<std::uint64_t> max_groups_;
    /// Free hosts kept in each fabric domain to replace failed ones.
    Wrap<std::uint64_t> spares_;
    /// Cost of a second in which a required group does not serve.
    Wrap<double> weight_group_downtime_;
    /// Cost of a second in which the accelerators of a group are idle.
    Wrap<double> weight_stranded_accelerators_;
    /// Time for which a group may serve after the last evidence that its
    /// hosts are alive.
    Wrap<std::chrono::milliseconds> evidence_lease_;
    /// Maximum time that a draining group has to finish its requests.
    Wrap<std::chrono::milliseconds> drain_timeout_;
    /// Maximum ratio of retries to successful requests.
    Wrap<double> retry_budget_;
};

} // namespace monsoondock::settings
