#include "planner_state.hpp"

#include <algorithm>

namespace monsoondock::placement::pvt {

const fleet::host_info*
find_host(const planning_step& step, const base::host_id& id)
{
    const auto found = step.hosts_.find(id);
    return found == step.hosts_.end() ? nullptr : &found->second;
}


bool is_evacuated(const planning_step& step, const base::host_id& id)
{
    const fleet::host_info* host = find_host(step, id);
    return host != nullptr &&
           step.input_.evacuated_.contains(host->data_centre_);
}


bool is_evacuated(const planning_step& step, const formation& f)
{
    return std::any_of(
        f.members_.begin(), f.members_.end(), [&](const auto& id) {
            return is_evacuated(step, id);
        });
}


bool is_usable(const planning_step& step, const base::host_id& id)
{
    const fleet::host_info* host = find_host(step, id);
    return host != nullptr && !host->draining_ &&
           !step.input_.unreachable_.contains(id) && !is_evacuated(step, id);
}


const catalog::model*
find_model(const planning_step& step, const std::string& name)
{
    for (const catalog::model& m : step.input_.engine_->models_) {
        if (m.name_ == name)
            return &m;
    }
    return nullptr;
}


void record_departure(
    planner_state& state,
    const base::host_id& host,
    std::int64_t process_start_ms,
    const fleet::group_key& key)
{
    state.departures_[host] = {key, process_start_ms};
}


bool has_left(
    const planner_state& state,
    const base::host_id& host,
    std::int64_t process_start_ms,
    const fleet::group_key& key)
{
    const auto left = state.departures_.find(host);
    return left != state.departures_.end() && left->second.key_ == key &&
           left->second.process_start_ms_ == process_start_ms;
}


void send(planning_step& step, order o)
{
    o.number_ = step.state_.next_number_++;
    const fleet::host_info* host = find_host(step, o.host_);
    step.state_.pending_orders_[o.number_] = {
        o.kind_,
        o.host_,
        host == nullptr ? 0 : host->process_start_ms_,
        o.group_};
    step.orders_.push_back(std::move(o));
}


void send_group_order(
    planning_step& step,
    formation& f,
    const base::host_id& host,
    order_kind kind)
{
    const auto sent = f.last_sent_.find(host);
    if (sent != f.last_sent_.end() &&
        step.input_.now_ - sent->second <
            step.state_.config_.order_retry_interval_)
        return;
    f.last_sent_[host] = step.input_.now_;
    order o{0, kind, host, f.key_, f.model_, {}};
    if (kind == order_kind::join)
        o.members_ = f.members_;
    send(step, std::move(o));
}


void set_phase(planning_step& step, formation& f, formation_phase phase)
{
    f.phase_ = phase;
    f.phase_start_ = step.input_.now_;
    f.last_sent_.clear();
}


bool reserve_load(planning_step& step)
{
    if (step.input_.before_traffic_)
        return true;
    auto& loads = step.state_.recent_loads_;
    const auto window = step.state_.config_.load_rate_window_;
    while (!loads.empty() && step.input_.now_ - loads.front() > window)
        loads.pop_front();
    const double seconds = std::chrono::duration<double>(window).count();
    const double allowed = step.input_.engine_->loads_per_second_ * seconds *
                           step.state_.config_.load_rate_share_;
    if (double(loads.size()) + 1 > allowed)
        return false;
    loads.push_back(step.input_.now_);
    return true;
}

} // namespace monsoondock::placement::pvt
