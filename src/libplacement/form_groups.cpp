#include "candidates.hpp"
#include "reassign_hosts.hpp"
#include "supply.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

/// A group that could be formed, and its value.
struct proposal
{
    const catalog::model* model_ = nullptr;
    candidate hosts_;
    /// Reduction in shortage cost by one host, times the seconds that it can
    /// serve. Counts one host only, so that groups of all sizes compare.
    double value_ = 0;
};


std::size_t count_groups(
    const planning_step& step,
    const base::fabric_domain_id& domain,
    const catalog::model& m)
{
    return static_cast<std::size_t>(std::count_if(
        step.state_.formations_.begin(),
        step.state_.formations_.end(),
        [&](const auto& e) {
            return e.second.domain_ == domain && e.second.model_ == m.name_;
        }));
}


bool is_largest(const planning_step& step, const catalog::model& m)
{
    return std::all_of(
        step.input_.engine_->models_.begin(),
        step.input_.engine_->models_.end(),
        [&](const auto& other) { return other.group_size_ <= m.group_size_; });
}


// Groups of the largest size are spread over the domains, so that the loss of a
// domain affects as few as possible. Smaller groups go where the fewest hosts
// are free, which leaves room for large groups elsewhere.
bool is_better_domain(
    const planning_step& step,
    const free_by_domain& free,
    const base::fabric_domain_id& a,
    const base::fabric_domain_id& b,
    const catalog::model& m)
{
    if (!is_largest(step, m))
        return free.at(a).size() < free.at(b).size();
    const std::size_t in_a = count_groups(step, a, m);
    const std::size_t in_b = count_groups(step, b, m);
    if (in_a != in_b)
        return in_a < in_b;
    return free.at(a).size() > free.at(b).size();
}


// Returns the group with the highest value, by the demand for its model and by
// how soon it can serve, including any load.
std::optional<proposal>
choose_next_group(const planning_step& step, const free_by_domain& free)
{
    std::optional<proposal> best;
    for (const catalog::model& m : step.input_.engine_->models_) {
        for (const auto& [domain, hosts] : free) {
            if (is_reserved_for_other_model(step, domain, m))
                continue;
            auto c = best_of_domain(step, domain, hosts, m);
            if (!c)
                continue;
            const double value = shortage_reduction(step, m, 1) *
                                 remaining_horizon_s(step, c->time_);
            const bool better =
                !best || value > best->value_ ||
                (value == best->value_ && best->model_ == &m &&
                 is_better_domain(step, free, domain, best->hosts_.domain_, m));
            if (better)
                best = proposal{&m, std::move(*c), value};
        }
    }
    return best;
}


formation
make_formation(planning_step& step, const candidate& c, const catalog::model& m)
{
    formation f;
    f.key_.epoch_ = step.state_.epochs_();
    f.key_.name_ = "g" + std::to_string(f.key_.epoch_);
    f.model_ = m.name_;
    f.domain_ = c.domain_;
    for (const fleet::host_info* h : c.hosts_) {
        f.members_.push_back(h->id_);
        f.process_start_ms_.push_back(h->process_start_ms_);
    }
    f.phase_start_ = step.input_.now_;
    // Under the load limit, concurrent loads slow each other down by a factor
    // of two at most.
    const int slowdown = c.hosts_without_weights_ > 0 ? 2 : 1;
    f.join_deadline_ = step.input_.now_ + slowdown * c.time_ +
                       step.state_.config_.formation_slack_;
    return f;
}


void start_formation(
    planning_step& step, const candidate& c, const catalog::model& m)
{
    formation f = make_formation(step, c, m);
    base::event_line("group_forming")
        .field("group", f.key_.name_)
        .field("model", f.model_)
        .field("domain", f.domain_)
        .field("head", f.members_.front())
        .field("hosts_to_load", c.hosts_without_weights_)
        .field("needed_hosts", needed_hosts_for(step, m))
        .field("committed_hosts", committed_hosts(step, m.name_))
        .field("expected_join", std::chrono::nanoseconds(c.time_));
    for (const base::host_id& id : f.members_)
        send_group_order(step, f, id, order_kind::join);
    step.state_.formations_.emplace(f.key_, std::move(f));
}


// Orders the hosts that lack the weights to load them. The others stay free for
// a better use that may arise meanwhile.
void start_loads(
    planning_step& step, const candidate& c, const catalog::model& m)
{
    for (const fleet::host_info* h : c.hosts_) {
        const host_readiness r = readiness_of(step, *h, m);
        if (r.source_ == weights_source::weight_store && !r.loading_ &&
            !is_loading(step, h->id_) &&
            loads_in_progress(step) < step.input_.engine_->parallel_loads_ &&
            reserve_load(step))
            order_staging(step, *h, m);
    }
}


void remove_hosts(free_by_domain& free, const candidate& c)
{
    std::erase_if(free[c.domain_], [&](const fleet::host_info* h) {
        return std::find(c.hosts_.begin(), c.hosts_.end(), h) != c.hosts_.end();
    });
}


// Returns true when one of the hosts was first listed within
// domain_settle_time_: further hosts of its domain may follow.
bool has_recently_listed_host(const planning_step& step, const host_list& hosts)
{
    return std::any_of(hosts.begin(), hosts.end(), [&](const auto* h) {
        const auto last = step.state_.last_groups_.find(h->id_);
        return last != step.state_.last_groups_.end() &&
               step.input_.now_ - last->second.first_listed_at_ <
                   step.state_.config_.domain_settle_time_;
    });
}


} // namespace

free_by_domain free_hosts(const planning_step& step)
{
    std::set<base::host_id> taken;
    for (const auto& [key, f] : step.state_.formations_) {
        for (std::size_t i = 0; i < f.members_.size(); ++i) {
            if (!has_left(
                    step.state_, f.members_[i], f.process_start_ms_[i], f.key_))
                taken.insert(f.members_[i]);
        }
    }
    free_by_domain free;
    for (const auto& [id, host] : step.hosts_) {
        // A host that is listed in a group must leave it first.
        if (host.deployment_ != step.state_.deployment_ || taken.contains(id) ||
            host.role_ || !is_usable(step, id))
            continue;
        free[host.domain_].push_back(&host);
    }
    return free;
}


void remove_waiting_domains(const planning_step& step, free_by_domain& free)
{
    std::erase_if(free, [&](const auto& entry) {
        return has_closing_group(step, entry.first) ||
               has_recently_listed_host(step, entry.second);
    });
}


void form_groups(planning_step& step)
{
    free_by_domain free = free_hosts(step);
    reassign_hosts(step, free);
    remove_waiting_domains(step, free);
    while (const auto next = choose_next_group(step, free)) {
        if (next->hosts_.hosts_without_weights_ == 0 ||
            step.input_.before_traffic_)
            start_formation(step, next->hosts_, *next->model_);
        else
            start_loads(step, next->hosts_, *next->model_);
        remove_hosts(free, next->hosts_);
    }
}

} // namespace monsoondock::placement::pvt
