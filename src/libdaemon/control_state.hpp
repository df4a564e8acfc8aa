#pragma once

#include "admin_board.hpp"
#include "drain_table.hpp"
#include "host_record.hpp"

#include <monsoondock/base/problem.hpp>
#include <monsoondock/metrics/registry.hpp>
#include <monsoondock/peer/service.hpp>
#include <monsoondock/platform/http_client.hpp>
#include <monsoondock/settings/cold_start.hpp>
#include <monsoondock/settings/daemon_config.hpp>
#include <monsoondock/settings/revision_keeper.hpp>
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

/// All control state of a daemon. Only the control thread touches it; the
/// references lead to things that are safe for several threads.
struct control_state
{
    const settings::daemon_config& config_;
    traffic::snapshot_holder& snapshots_;
    metrics::registry& metrics_;
    admin_board& admin_;
    traffic::shared_suspect_registry& suspects_;
    boost::asio::io_context& context_;
    platform::http_client store_;
    std::mt19937_64 random_;

    /// What is known of the settings, in force or on its way.
    settings::revision_keeper settings_keeper_{};
    /// What the daemon waits for after its start before it serves.
    settings::cold_start cold_start_{};
    /// Settings in force; null before the first ones.
    std::shared_ptr<const settings::settings_tree> settings_{};
    /// The platform's lagging list of hosts.
    std::map<base::host_id, host_record> hosts_{};
    bool hosts_known_ = false;
    /// True once requests can find the groups that serve.
    bool groups_known_ = false;
    drain_table drains_{};
    /// Groups that may take requests, kept by the group control.
    std::vector<traffic::group_row> groups_{};
    /// Open entry hosts, kept by the peer control.
    std::vector<traffic::entry_host_row> entry_hosts_{};
    /// Other daemons that are not dead, kept by the peer control.
    std::vector<base::daemon_id> live_daemons_{};
    /// The daemon among its peers; null until the peer control has started.
    std::unique_ptr<peer::service> peers_{};
    /// Takes a body on the channel for verdicts, set by the group control.
    std::function<void(const base::daemon_id& sender, const std::string& body)>
        on_verdict_{};
    /// Returns the load in thousandths of what the daemon may take.
    std::function<std::uint16_t()> load_permille_{};
    /// Loads of plain services' hosts; they outlive single snapshots.
    std::map<base::host_id, std::shared_ptr<traffic::upstream_load>>
        service_loads_{};
    /// True from the start of a planned stop or an operator's drain.
    bool draining_ = false;
    /// Why the control thread gave up; the daemon ends with it.
    std::optional<base::problem> failure_{};
    /// True from the start of a planned stop.
    bool stopping_ = false;
};


/// Returns true once the daemon knows enough to take callers. Until then its
/// peers keep it off the list of entry hosts.
bool is_ready(const control_state& state);


/// Builds a snapshot from the state and hands it to the traffic threads.
void publish_snapshot(control_state& state);

} // namespace monsoondock::daemon
