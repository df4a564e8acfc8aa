#include "group_state.hpp"

#include <monsoondock/settings/effective.hpp>
#include <monsoondock/settings/socket_address.hpp>

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace {

bool is_leaving(const control_state& control, const host_record& host)
{
    return host.leaving_ || control.drains_.hosts_.contains(host.host_);
}


groups::member_view
member_of(const control_state& control, const base::host_id& id)
{
    groups::member_view member{id, {}, false, false};
    const auto found = control.hosts_.find(id);
    if (found == control.hosts_.end())
        return member;
    member.listed_ = true;
    member.address_ = found->second.address_;
    member.leaving_ = is_leaving(control, found->second);
    return member;
}


bool shares_host(const groups::group_record& a, const groups::group_record& b)
{
    return std::any_of(a.hosts_.begin(), a.hosts_.end(), [&](const auto& h) {
        return std::find(b.hosts_.begin(), b.hosts_.end(), h) != b.hosts_.end();
    });
}


// Groups contest a host only across domains; the checks on a domain record
// exclude it within one.
bool is_contested(const group_state& state, const groups::group_record& group)
{
    for (const auto& [domain, known] : state.domains_) {
        for (const groups::group_record& other : known.record_.groups_) {
            if (other.id_ == group.id_ ||
                other.phase_ == groups::group_phase::retired)
                continue;
            if (shares_host(group, other))
                return true;
        }
    }
    return false;
}

} // namespace

std::vector<groups::host_view>
hosts_of(const control_state& control, const base::fabric_domain_id& domain)
{
    std::vector<groups::host_view> hosts;
    for (const auto& [id, host] : control.hosts_) {
        if (host.kind_ != host_kind::model || host.fabric_domain_ != domain)
            continue;
        hosts.push_back(
            {id,
             host.address_,
             host.data_centre_,
             host.fabric_domain_,
             is_leaving(control, host),
             host.accelerators_,
             host.checks_generation_});
    }
    return hosts;
}


groups::group_view
view_of(const group_state& state, const groups::group_record& group)
{
    groups::group_view view{
        group.id_,
        group.deployment_,
        group.generation_,
        group.phase_,
        {},
        is_contested(state, group)};
    for (const base::host_id& host : group.hosts_)
        view.members_.push_back(member_of(state.control_, host));
    return view;
}


std::chrono::milliseconds
lease_of(group_state& state, const base::deployment_id& deployment)
{
    if (state.leases_settings_ != state.control_.settings_) {
        state.leases_.clear();
        state.leases_settings_ = state.control_.settings_;
    }
    const auto known = state.leases_.find(deployment);
    if (known != state.leases_.end())
        return known->second;
    std::chrono::milliseconds lease = state.timing_.dispatch_lease_;
    if (state.leases_settings_ != nullptr) {
        const auto found = settings::effective(
            *state.leases_settings_,
            {state.control_.config_.data_centre_, deployment, std::nullopt});
        if (base::ok(found))
            lease = std::min(
                lease, base::value(found).deployment_.evidence_lease_.value_);
    }
    state.leases_[deployment] = lease;
    return lease;
}


std::optional<boost::asio::ip::tcp::endpoint>
address_of(const control_state& control, const base::host_id& host)
{
    const auto found = control.hosts_.find(host);
    if (found == control.hosts_.end())
        return std::nullopt;
    const auto parsed = settings::parse_socket_address(found->second.address_);
    if (!parsed)
        return std::nullopt;
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(parsed->ip_, failure);
    if (failure)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, parsed->port_);
}

} // namespace monsoondock::daemon
