#include "planner_state.hpp"

#include <monsoondock/base/event_line.hpp>

namespace monsoondock::placement {

namespace {

std::map<std::string, unsigned> group_sizes(const catalog::engine& e)
{
    std::map<std::string, unsigned> sizes;
    for (const catalog::model& m : e.models_)
        sizes[m.name_] = m.group_size_;
    return sizes;
}


// Returns the listed hosts. The role is removed where the listing still shows
// a group that the host has left.
fleet::host_table
current_hosts(const pvt::planner_state& state, const planner_input& input)
{
    fleet::host_table hosts = *input.hosts_;
    for (auto& [id, host] : hosts) {
        if (host.role_ &&
            pvt::has_left(state, id, host.process_start_ms_, host.role_->key_))
            host.role_.reset();
    }
    return hosts;
}


// Records the models of groups, as a host reports its model only while it is
// in a group.
void update_last_groups(pvt::planning_step& step)
{
    for (const auto& [id, host] : step.hosts_) {
        if (host.deployment_ != step.state_.deployment_)
            continue;
        auto& last = step.state_.last_groups_[id];
        const bool is_new = last.first_listed_at_ == base::time_point();
        if (is_new || last.process_start_ms_ != host.process_start_ms_)
            last = {host.process_start_ms_, {}, step.input_.now_};
        if (host.role_ && !host.model_.empty() &&
            host.role_->phase_ != fleet::group_phase::joining)
            last.model_ = host.model_;
    }
}


bool is_list_settled(pvt::planning_step& step)
{
    // Only the initial placement needs to wait until all hosts are listed.
    if (step.state_.list_settled_ || !step.input_.before_traffic_)
        return true;
    std::size_t listed = 0;
    for (const auto& [id, host] : step.hosts_)
        listed += host.deployment_ == step.state_.deployment_ ? 1 : 0;
    if (listed != step.state_.listed_count_) {
        step.state_.listed_count_ = listed;
        step.state_.listed_count_since_ = step.input_.now_;
    }
    const auto wait = step.state_.config_.initial_settle_time_;
    step.state_.list_settled_ =
        listed > 0 &&
        step.input_.now_ - step.state_.listed_count_since_ >= wait;
    return step.state_.list_settled_;
}

} // namespace

planner::planner(
    base::deployment_id deployment, planner_config config, epoch_source epochs)
    : state_(std::make_unique<pvt::planner_state>())
{
    state_->deployment_ = std::move(deployment);
    state_->config_ = config;
    state_->epochs_ = std::move(epochs);
}


planner::planner(planner&&) noexcept = default;
planner& planner::operator=(planner&&) noexcept = default;
planner::~planner() = default;


std::vector<order> planner::step(const planner_input& input)
{
    const fleet::host_table hosts = current_hosts(*state_, input);
    pvt::planning_step current{
        *state_,
        input,
        hosts,
        fleet::derive_groups(
            hosts, state_->deployment_, group_sizes(*input.engine_)),
        {}};
    update_last_groups(current);
    if (!is_list_settled(current))
        return {};
    pvt::adopt_groups(current);
    pvt::advance_formations(current);
    pvt::form_groups(current);
    pvt::prefetch_weights(current);
    return std::move(current.orders_);
}


void planner::handle_order_outcome(
    std::uint64_t number, order_outcome outcome, base::time_point)
{
    const auto found = state_->pending_orders_.find(number);
    if (found == state_->pending_orders_.end())
        return;
    const pvt::planner_state::pending_order sent = found->second;
    state_->pending_orders_.erase(found);
    // A refused leave proves nothing: the host may be busy with an earlier
    // order.
    if (sent.kind_ == order_kind::leave && outcome == order_outcome::accepted)
        pvt::record_departure(
            *state_, sent.host_, sent.process_start_ms_, sent.group_);
}


std::vector<base::host_id> planner::retiring_heads() const
{
    std::vector<base::host_id> heads;
    for (const auto& [key, f] : state_->formations_) {
        if (f.phase_ == pvt::formation_phase::closing ||
            f.phase_ == pvt::formation_phase::dissolving)
            heads.push_back(f.members_.front());
    }
    return heads;
}


std::size_t planner::serving_groups() const
{
    std::size_t count = 0;
    for (const auto& [key, f] : state_->formations_)
        count += f.phase_ == pvt::formation_phase::serving ? 1 : 0;
    return count;
}

} // namespace monsoondock::placement
