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


// Returns the listed hosts, without the groups that their entries still show
// though they have left them.
fleet::host_table
present_hosts(const pvt::planner_state& s, const planner_input& input)
{
    fleet::host_table hosts = *input.hosts_;
    for (auto& [id, host] : hosts) {
        if (host.role_ &&
            pvt::has_left(s, id, host.process_start_ms_, host.role_->key_))
            host.role_.reset();
    }
    return hosts;
}


// Remembers the models of groups, since a host's entry tells them only while
// it is in one.
void remember_models(pvt::planning& p)
{
    for (const auto& [id, host] : p.hosts_) {
        if (host.deployment_ != p.s_.deployment_)
            continue;
        auto& last = p.s_.last_models_[id];
        const bool is_new = last.listed_at_ == base::time_point();
        if (is_new || last.process_start_ms_ != host.process_start_ms_)
            last = {host.process_start_ms_, {}, p.input_.now_};
        if (host.role_ && !host.model_.empty() &&
            host.role_->phase_ != fleet::group_phase::joining)
            last.model_ = host.model_;
    }
}


bool has_settled(pvt::planning& p)
{
    // Only the placing of all hosts is better done when all are listed.
    if (p.s_.settled_ || !p.input_.before_traffic_)
        return true;
    std::size_t listed = 0;
    for (const auto& [id, host] : p.hosts_)
        listed += host.deployment_ == p.s_.deployment_ ? 1 : 0;
    if (listed != p.s_.listed_) {
        p.s_.listed_ = listed;
        p.s_.listed_since_ = p.input_.now_;
    }
    const auto wait = p.s_.config_.initial_settle_time_;
    p.s_.settled_ = listed > 0 && p.input_.now_ - p.s_.listed_since_ >= wait;
    return p.s_.settled_;
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
    const fleet::host_table hosts = present_hosts(*state_, input);
    pvt::planning p{
        *state_,
        input,
        hosts,
        fleet::derive_groups(
            hosts, state_->deployment_, group_sizes(*input.engine_)),
        {}};
    remember_models(p);
    if (!has_settled(p))
        return {};
    pvt::adopt_groups(p);
    pvt::advance_formations(p);
    pvt::form_groups(p);
    pvt::stage_spares(p);
    return std::move(p.orders_);
}


void planner::handle_order_outcome(
    std::uint64_t number, order_outcome outcome, base::time_point)
{
    const auto found = state_->sent_.find(number);
    if (found == state_->sent_.end())
        return;
    const pvt::planner_state::sent_order sent = found->second;
    state_->sent_.erase(found);
    // A refusal tells nothing: the host may be busy with its last order.
    if (sent.kind_ == order_kind::leave && outcome == order_outcome::accepted)
        pvt::note_left(
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
