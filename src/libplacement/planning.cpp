#include "planner_state.hpp"

namespace monsoondock::placement::pvt {

const fleet::host_info* find_host(const planning& p, const base::host_id& id)
{
    const auto found = p.hosts_.find(id);
    return found == p.hosts_.end() ? nullptr : &found->second;
}


bool is_usable(const planning& p, const base::host_id& id)
{
    const fleet::host_info* host = find_host(p, id);
    return host != nullptr && !host->draining_ &&
           !p.input_.unreachable_.contains(id);
}


const catalog::model* find_model(const planning& p, const std::string& name)
{
    for (const catalog::model& m : p.input_.engine_->models_) {
        if (m.name_ == name)
            return &m;
    }
    return nullptr;
}


void note_left(
    planner_state& s,
    const base::host_id& host,
    std::int64_t process_start_ms,
    const fleet::group_key& key)
{
    s.left_[host] = {key, process_start_ms};
}


bool has_left(
    const planner_state& s,
    const base::host_id& host,
    std::int64_t process_start_ms,
    const fleet::group_key& key)
{
    const auto left = s.left_.find(host);
    return left != s.left_.end() && left->second.key_ == key &&
           left->second.process_start_ms_ == process_start_ms;
}


void send(planning& p, order o)
{
    o.number_ = p.s_.next_number_++;
    const fleet::host_info* host = find_host(p, o.host_);
    p.s_.sent_[o.number_] = {
        o.kind_,
        o.host_,
        host == nullptr ? 0 : host->process_start_ms_,
        o.group_};
    p.orders_.push_back(std::move(o));
}


void tell(planning& p, formation& f, const base::host_id& host, order_kind kind)
{
    const auto told = f.told_.find(host);
    if (told != f.told_.end() &&
        p.input_.now_ - told->second < p.s_.config_.order_retry_interval_)
        return;
    f.told_[host] = p.input_.now_;
    order o{0, kind, host, f.key_, f.model_, {}};
    if (kind == order_kind::join)
        o.members_ = f.members_;
    send(p, std::move(o));
}


void set_phase(planning& p, formation& f, formation_phase phase)
{
    f.phase_ = phase;
    f.phase_start_ = p.input_.now_;
    f.told_.clear();
}


bool take_load(planning& p)
{
    if (p.input_.before_traffic_)
        return true;
    auto& loads = p.s_.loads_;
    const auto window = p.s_.config_.load_rate_window_;
    while (!loads.empty() && p.input_.now_ - loads.front() > window)
        loads.pop_front();
    const double seconds = std::chrono::duration<double>(window).count();
    const double allowed = p.input_.engine_->loads_per_second_ * seconds *
                           p.s_.config_.load_rate_share_;
    if (double(loads.size()) + 1 > allowed)
        return false;
    loads.push_back(p.input_.now_);
    return true;
}

} // namespace monsoondock::placement::pvt
