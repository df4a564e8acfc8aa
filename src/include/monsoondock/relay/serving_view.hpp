#pragma once

#include <monsoondock/catalog/catalog.hpp>
#include <monsoondock/relay/upstream.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace monsoondock::relay {

/// Snapshot of the configuration and the available upstreams, from which the
/// traffic thread routes requests. The control thread replaces it as a whole;
/// it is immutable once published.
struct serving_view
{
    std::shared_ptr<const catalog::catalog> catalog_;
    std::unordered_map<base::deployment_id, std::vector<upstream>> upstreams_;
    /// Data centres to whose hosts nothing is to be sent. upstreams_ has none
    /// of them; a request that was waiting for a connection may.
    std::set<base::data_centre_id> evacuated_;
    /// Number of daemons that serve callers, including this one.
    unsigned daemons_ = 1;
    /// The others of them.
    std::vector<base::daemon_id> peers_;
    /// All other daemons that have been known lately, whether or not they are
    /// alive, among which the limits of cold hosts are divided.
    std::vector<base::daemon_id> known_daemons_;
    /// False while this daemon may know too few of the others to have a share
    /// in the limits of cold hosts.
    bool shares_cold_limits_ = true;
    /// Age that the known loads of upstreams have at most, as long as no report
    /// of them is lost.
    std::chrono::milliseconds load_report_age_{0};
    /// True while this daemon shuts down; connections are then closed after the
    /// current response.
    bool stopping_ = false;
};

using view_pointer = std::shared_ptr<const serving_view>;

} // namespace monsoondock::relay
