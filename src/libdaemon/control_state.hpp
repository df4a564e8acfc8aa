#pragma once

#include "admin_pages.hpp"
#include "drain_table.hpp"
#include "host_record.hpp"

#include <monsoondock/base/problem.hpp>
#include <monsoondock/metrics/registry.hpp>
#include <monsoondock/peer/service.hpp>
#include <monsoondock/platform/http_client.hpp>
#include <monsoondock/settings/cold_start.hpp>
#include <monsoondock/settings/daemon_config.hpp>
#include <monsoondock/settings/revision_tracker.hpp>
#include <monsoondock/settings/settings_tree.hpp>
#include <monsoondock/traffic/shared_suspect_registry.hpp>
#include <monsoondock/traffic/snapshot_holder.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoondock::daemon {

/// State shared by the tasks of the control thread. Only that thread may access
/// it; the objects behind the references that traffic threads use as well are
/// thread-safe.
struct control_state
{
    const settings::daemon_config& config_;
    traffic::snapshot_holder& snapshots_;
    metrics::registry& metrics_;
    admin_pages& admin_pages_;
    traffic::shared_suspect_registry& suspects_;
    boost::asio::io_context& context_;
    platform::http_client store_;
    std::mt19937_64 random_;

    /// Settings revisions that are in force or being fetched.
    settings::revision_tracker settings_tracker_{};
    /// Conditions to meet after the start before the daemon serves.
    settings::cold_start cold_start_{};
    /// Settings in force; null until the first revision is applied.
    std::shared_ptr<const settings::settings_tree> settings_{};
    /// The platform's list of hosts, which lags behind their actual state.
    std::map<base::host_id, host_record> hosts_{};
    bool hosts_known_ = false;
    /// True once groups_ covers the serving groups, or the wait for evidence of
    /// them has timed out.
    bool groups_known_ = false;
    drain_table drains_{};
    /// Groups that may take requests, updated by the group control.
    std::vector<traffic::group_row> groups_{};
    /// Entry hosts that accept callers, updated by the peer control.
    std::vector<traffic::entry_host_row> entry_hosts_{};
    /// Other daemons not considered dead, updated by the peer control.
    std::vector<base::daemon_id> live_daemons_{};
    /// Membership and peer traffic; null until the peer control has started.
    std::unique_ptr<peer::service> peers_{};
    /// Handles a message body about group health; set by the group control.
    std::function<void(const base::daemon_id& sender, const std::string& body)>
        on_group_health_{};
    /// Returns the load of the daemon in thousandths of its capacity.
    std::function<std::uint16_t()> load_permille_{};
    /// Load counters of the hosts of plain services. They are kept here because
    /// they must outlive a single snapshot.
    std::map<base::host_id, std::shared_ptr<traffic::upstream_load>>
        service_loads_{};
    /// True during a graceful shutdown or an operator's drain.
    bool draining_ = false;
    /// Fatal error of the control thread, returned by run_daemon.
    std::optional<base::problem> failure_{};
    /// True once a graceful shutdown has started.
    bool stopping_ = false;
};


/// Returns true once the daemon has settings, hosts and groups and can serve
/// callers. Until then its peers don't list it as an entry host.
bool is_ready(const control_state& state);


/// Builds a routing snapshot from the state and publishes it to the traffic
/// threads.
void publish_snapshot(control_state& state);

} // namespace monsoondock::daemon
