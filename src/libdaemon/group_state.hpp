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

/// One domain's record as this daemon last read it.
struct known_domain
{
    groups::domain_record record_;
    platform::version version_;
};


/// One domain of the own data centre.
struct led_domain
{
    groups::domain_control control_;
    /// True from the start of a write until a read shows what became of it.
    bool writing_ = false;
    bool reading_ = false;
    base::time_point read_at_;
};


/// What the group control remembers. Only the control thread touches it.
struct group_state
{
    explicit group_state(control_state& control)
        : control_(control), engines_(control.context_)
    {}

    control_state& control_;
    engine_client engines_;
    groups::group_timing timing_;
    std::uint64_t incarnation_ = 0;
    /// True once the records were read for the first time.
    bool listed_ = false;
    /// When that was noticed.
    base::time_point listed_at_{};
    std::map<base::fabric_domain_id, known_domain> domains_;
    std::map<base::fabric_domain_id, led_domain> led_;
    groups::evidence_table evidence_;
    groups::contact_table contacts_;
    groups::health_exchange exchange_;
    std::size_t verdict_round_ = 0;
    base::time_point next_verdicts_;
    std::map<base::data_centre_id, std::size_t> relay_attempts_;
    std::set<base::host_id> probing_;
    std::map<base::host_id, base::time_point> probed_at_;
    std::set<base::host_id> ordering_;
    std::map<base::group_id, std::shared_ptr<traffic::upstream_load>> loads_;
    base::time_point page_posted_at_;
    /// Leases of deployments under the settings that they were read from.
    std::map<base::deployment_id, std::chrono::milliseconds> leases_;
    std::shared_ptr<const settings::settings_tree> leases_from_;
};


/// Returns the platform's rows of one fabric domain as the leader sees them,
/// operators' drains applied.
std::vector<groups::host_view>
hosts_of(const control_state& control, const base::fabric_domain_id& domain);


/// Returns a group as a dispatching daemon sees it now.
groups::group_view
view_of(const group_state& state, const groups::group_record& group);


/// Returns the age at which evidence lapses for a deployment: what its settings
/// say, and never more than the lease that a release of hosts waits for.
std::chrono::milliseconds
lease_of(group_state& state, const base::deployment_id& deployment);


/// Returns the address of a listed host, or nothing.
std::optional<boost::asio::ip::tcp::endpoint>
address_of(const control_state& control, const base::host_id& host);

} // namespace monsoondock::daemon
