#pragma once

#include "control_state.hpp"
#include "engine_client.hpp"

#include <monsoondock/groups/domain_control.hpp>
#include <monsoondock/groups/group_view.hpp>
#include <monsoondock/groups/health_exchange.hpp>
#include <monsoondock/platform/object.hpp>

#include <map>
#include <memory>
#include <set>

namespace monsoondock::daemon {

/// Record of a fabric domain, as this daemon last read it.
struct known_domain
{
    groups::domain_record record_;
    platform::version version_;
};


/// Control state of a fabric domain in the own data centre.
struct own_domain
{
    groups::domain_control control_;
    /// True from the start of a write until a read shows its result.
    bool write_pending_ = false;
    bool read_pending_ = false;
    base::time_point last_read_at_;
};


/// State of the group control. Only the control thread may access it.
struct group_state
{
    explicit group_state(control_state& control)
        : control_(control), engines_(control.context_)
    {}

    control_state& control_;
    engine_client engines_;
    groups::group_timing timing_;
    std::uint64_t incarnation_ = 0;
    /// True once the domain records have been listed.
    bool domains_listed_ = false;
    /// Time at which the group control first found domains_listed_ set.
    base::time_point domains_listed_at_{};
    std::map<base::fabric_domain_id, known_domain> domains_;
    std::map<base::fabric_domain_id, own_domain> own_domains_;
    groups::evidence_table evidence_;
    groups::contact_table contacts_;
    groups::health_exchange exchange_;
    std::size_t health_round_ = 0;
    base::time_point next_health_round_at_;
    std::map<base::data_centre_id, std::size_t> relay_attempts_;
    std::set<base::host_id> pending_probes_;
    std::map<base::host_id, base::time_point> last_probe_at_;
    std::set<base::host_id> pending_orders_;
    std::map<base::group_id, std::shared_ptr<traffic::upstream_load>> loads_;
    base::time_point page_published_at_;
    /// Evidence leases of deployments, cached for leases_settings_.
    std::map<base::deployment_id, std::chrono::milliseconds> leases_;
    std::shared_ptr<const settings::settings_tree> leases_settings_;
};


/// Returns the model hosts of a fabric domain from the platform's list. Hosts
/// that operators drain are marked as leaving.
std::vector<groups::host_view>
hosts_of(const control_state& control, const base::fabric_domain_id& domain);


/// Returns a group with the listed state of its hosts, as the dispatch decision
/// needs it.
groups::group_view
view_of(const group_state& state, const groups::group_record& group);


/// Returns the age at which evidence for a deployment expires: the value from
/// its settings, but at most the dispatch lease, because that is how long the
/// release of hosts waits.
std::chrono::milliseconds
lease_of(group_state& state, const base::deployment_id& deployment);


/// Returns the address of a host, or nothing when the host is not listed or its
/// address is invalid.
std::optional<boost::asio::ip::tcp::endpoint>
address_of(const control_state& control, const base::host_id& host);

} // namespace monsoondock::daemon
