#include "control_state.hpp"

#include <monsoondock/settings/effective.hpp>
#include <monsoondock/settings/socket_address.hpp>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <optional>

namespace monsoondock::daemon {

namespace {

std::optional<boost::asio::ip::tcp::endpoint>
to_endpoint(const std::string& address)
{
    const auto parsed = settings::parse_socket_address(address);
    if (!parsed)
        return std::nullopt;
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(parsed->ip_, failure);
    if (failure)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, parsed->port_);
}


std::shared_ptr<traffic::upstream_load>
load_of(control_state& state, const base::host_id& host)
{
    auto& load = state.service_loads_[host];
    if (load == nullptr)
        load = std::make_shared<traffic::upstream_load>();
    return load;
}


std::vector<traffic::service_host>
hosts_of(control_state& state, const base::deployment_id& deployment)
{
    std::vector<traffic::service_host> result;
    for (const auto& [id, host] : state.hosts_) {
        if (host.kind_ != host_kind::service || host.leaving_ ||
            host.deployment_ != deployment || state.drains_.hosts_.contains(id))
            continue;
        const auto address = to_endpoint(host.address_);
        if (address)
            result.push_back(
                {id, host.data_centre_, *address, load_of(state, id)});
    }
    return result;
}


settings::place
deployment_place(const control_state& state, const base::deployment_id& id)
{
    settings::place where;
    where.data_centre_ = state.config_.data_centre_;
    where.deployment_ = id;
    return where;
}


settings::place workspace_place(const base::workspace_id& id)
{
    settings::place where;
    where.workspace_ = id;
    return where;
}


void add_deployment(
    control_state& state,
    traffic::routing_snapshot& snapshot,
    const base::deployment_id& deployment)
{
    const auto found = settings::effective(
        *state.settings_, deployment_place(state, deployment));
    if (!base::ok(found))
        return;
    const auto& values = base::value(found).deployment_;
    if (values.kind_.value_ == settings::deployment_kind::model) {
        snapshot.models_.push_back(deployment);
        return;
    }
    snapshot.services_.push_back(
        {deployment,
         values.idempotent_.value_,
         base::value(found).claims_.max_outcome_bytes_.value_,
         hosts_of(state, deployment)});
}


// Number of daemons that may admit requests of a workspace, including this one.
// A draining daemon is no entry host, but still serves its connected callers.
double count_admitting_daemons(const traffic::routing_snapshot& snapshot)
{
    const std::size_t live = snapshot.live_daemons_.size() + 1;
    return static_cast<double>(std::max(live, snapshot.entry_hosts_.size()));
}


void add_workspace(
    const settings::settings_tree& tree,
    traffic::routing_snapshot& snapshot,
    const base::workspace_id& workspace)
{
    const auto found = settings::effective(tree, workspace_place(workspace));
    if (!base::ok(found))
        return;
    const auto& values = base::value(found).workspace_;
    const double daemons = count_admitting_daemons(snapshot);
    const auto burst = static_cast<double>(values.request_burst_.value_);
    snapshot.workspaces_.push_back(
        {workspace,
         values.api_key_hashes_.value_,
         values.request_rate_.value_ / daemons,
         burst / daemons});
}


void add_settings(control_state& state, traffic::routing_snapshot& snapshot)
{
    snapshot.settings_revision_ = state.settings_->revision_.value_;
    for (const auto& [path, node] : state.settings_->nodes_) {
        const auto parts = settings::parse_path(path);
        if (!parts)
            continue;
        if (parts->level_ == settings::level::deployment)
            add_deployment(state, snapshot, parts->deployment_);
        if (parts->level_ == settings::level::workspace)
            add_workspace(*state.settings_, snapshot, parts->workspace_);
    }
}

// Divides the limits of upstreams among the daemons that are alive.
void update_limit_shares(control_state& state)
{
    const base::time_point now = base::boot_clock::now();
    const base::daemon_id& self = state.config_.daemon_;
    for (const traffic::group_row& row : state.groups_)
        row.load_->limit_.update_share(
            {row.group_.value_}, self, state.live_daemons_, now);
    for (const auto& [host, load] : state.service_loads_)
        load->limit_.update_share(host, self, state.live_daemons_, now);
}

} // namespace

bool is_ready(const control_state& state)
{
    return state.settings_ != nullptr && state.hosts_known_ &&
           state.groups_known_;
}


void publish_snapshot(control_state& state)
{
    update_limit_shares(state);
    auto snapshot = std::make_shared<traffic::routing_snapshot>();
    snapshot->ready_ = is_ready(state);
    snapshot->draining_ = state.draining_;
    snapshot->groups_ = state.groups_;
    snapshot->entry_hosts_ = state.entry_hosts_;
    snapshot->live_daemons_ = state.live_daemons_;
    if (state.settings_ != nullptr)
        add_settings(state, *snapshot);
    state.metrics_.set(
        metrics::gauge::settings_revision,
        static_cast<double>(snapshot->settings_revision_));
    state.metrics_.set(
        metrics::gauge::ready, snapshot->ready_ && !snapshot->draining_);
    state.snapshots_.publish(std::move(snapshot));
}

} // namespace monsoondock::daemon
