#include "fake_hosts_test.hpp"

#include <monsoondock/fleet/replica_group.hpp>
#include <monsoondock/placement/join_time.hpp>

#include <algorithm>

namespace monsoondock::placement {

namespace {

constexpr std::chrono::milliseconds step_period{100};
// Before traffic, loads take a tenth of their time.
constexpr int load_speedup_before_traffic = 10;

} // namespace

catalog::engine two_models()
{
    using namespace std::chrono_literals;
    catalog::engine e;
    e.models_ = {
        {"large", 4, 1.0, 0.5, 16000ms, 1600ms},
        {"small", 2, 0.6, 0.5, 12000ms, 1100ms}};
    e.loads_per_second_ = 5;
    e.parallel_loads_ = 7;
    e.open_time_ = 300ms;
    return e;
}


fake_hosts::fake_hosts(catalog::engine engine) : engine_(std::move(engine))
{
    input_.now_ = base::time_point(std::chrono::hours(1));
    input_.hosts_ = &hosts_;
    input_.engine_ = &engine_;
}


void fake_hosts::add(const std::string& id, const std::string& domain)
{
    fleet::host_info h;
    h.id_ = {id};
    h.deployment_ = {"llm"};
    h.domain_ = {domain};
    h.process_start_ms_ = 1;
    hosts_[h.id_] = h;
}


void fake_hosts::crash(const std::string& id)
{
    crashed_.insert({id});
    jobs_.erase({id});
}


void fake_hosts::restart(const std::string& id)
{
    crashed_.erase({id});
    jobs_.erase({id});
    last_models_.erase({id});
    last_epochs_.erase({id});
    std::erase_if(
        open_heads_, [&](const auto& e) { return e.second.value_ == id; });
    fleet::host_info& h = hosts_.at({id});
    ++h.process_start_ms_;
    h.role_.reset();
    h.model_.clear();
}


void fake_hosts::disconnect(const std::string& id)
{
    disconnected_.insert({id});
}


void fake_hosts::reconnect(const std::string& id)
{
    disconnected_.erase({id});
}


void fake_hosts::remove_entry(const std::string& id)
{
    hosts_.erase({id});
}


void fake_hosts::expire_entry(const std::string& id)
{
    auto entry = hosts_.extract({id});
    expired_entries_.insert(std::move(entry));
}


void fake_hosts::restore_entry(const std::string& id)
{
    auto entry = expired_entries_.extract({id});
    hosts_.insert(std::move(entry));
}


void fake_hosts::drain(const std::string& id)
{
    hosts_.at({id}).draining_ = true;
}


void fake_hosts::delay_orders(unsigned count, std::chrono::milliseconds delay)
{
    orders_to_delay_ = count;
    delay_ = delay;
}


bool fake_hosts::is_down(const base::host_id& id) const
{
    return crashed_.contains(id) || !hosts_.contains(id);
}


bool fake_hosts::has_open_head(const base::host_id& id) const
{
    const auto& role = hosts_.at(id).role_;
    if (!role)
        return false;
    const auto head = open_heads_.find(role->key_);
    return head != open_heads_.end() && !crashed_.contains(head->second);
}


const catalog::model& fake_hosts::find_model(const std::string& name) const
{
    return *std::find_if(
        engine_.models_.begin(), engine_.models_.end(), [&](const auto& m) {
            return m.name_ == name;
        });
}


order_outcome fake_hosts::join(const order& o)
{
    fleet::host_info& h = hosts_.at(o.host_);
    if (o.group_.epoch_ < last_epochs_[o.host_])
        return order_outcome::refused;
    if (h.role_ && h.role_->key_ == o.group_)
        return member_lists_[o.host_] == o.members_ ? order_outcome::accepted
                                                    : order_outcome::refused;
    if (has_open_head(o.host_))
        ++joins_while_open_;
    const catalog::model& m = find_model(o.model_);
    const auto source = find_weights(h, last_models_[o.host_], m);
    job j{join_time(source, m), {}, o.group_, fleet::group_phase::ready};
    if (source == weights_source::weight_store) {
        j.model_to_load_ = o.model_;
        ++loads_started_;
        if (input_.before_traffic_)
            j.remaining_ /= load_speedup_before_traffic;
    }
    const auto rank = std::find(o.members_.begin(), o.members_.end(), o.host_) -
                      o.members_.begin();
    h.role_ = fleet::group_role{
        o.group_, static_cast<unsigned>(rank), fleet::group_phase::joining};
    h.model_ = o.model_;
    last_models_[o.host_] = o.model_;
    last_epochs_[o.host_] = o.group_.epoch_;
    member_lists_[o.host_] = o.members_;
    jobs_[o.host_].push_back(j);
    return order_outcome::accepted;
}


order_outcome fake_hosts::stage(const order& o)
{
    job j{find_model(o.model_).load_time_, o.model_, {}, {}};
    ++loads_started_;
    if (input_.before_traffic_)
        j.remaining_ /= load_speedup_before_traffic;
    jobs_[o.host_].push_back(j);
    return order_outcome::accepted;
}


order_outcome fake_hosts::open(const order& o)
{
    // A delayed order to an open head has no effect, whatever orders its
    // members have received since.
    if (open_heads_.contains(o.group_))
        return order_outcome::accepted;
    for (const base::host_id& id : member_lists_[o.host_]) {
        const auto& role =
            hosts_.contains(id) ? hosts_.at(id).role_ : std::nullopt;
        if (!role || role->key_ != o.group_ ||
            role->phase_ == fleet::group_phase::joining)
            ++opens_before_ready_;
    }
    open_heads_[o.group_] = o.host_;
    jobs_[o.host_].push_back(
        {engine_.open_time_, {}, o.group_, fleet::group_phase::open});
    return order_outcome::accepted;
}


order_outcome fake_hosts::send(const order& o)
{
    if (orders_to_delay_ > 0) {
        --orders_to_delay_;
        delayed_orders_.push_back({o, input_.now_ + delay_});
        return order_outcome::unanswered;
    }
    const order_outcome outcome = apply(o);
    if (answers_to_drop_ == 0)
        return outcome;
    --answers_to_drop_;
    return order_outcome::unanswered;
}


void fake_hosts::deliver_delayed_orders()
{
    std::vector<delayed_order> due;
    std::erase_if(delayed_orders_, [&](const delayed_order& delayed) {
        if (delayed.due_at_ > input_.now_)
            return false;
        due.push_back(delayed);
        return true;
    });
    for (const delayed_order& delayed : due)
        apply(delayed.order_);
}


order_outcome fake_hosts::apply(const order& o)
{
    ++orders_;
    if (is_down(o.host_) || disconnected_.contains(o.host_))
        return order_outcome::unanswered;
    if (o.kind_ == order_kind::join)
        return join(o);
    if (o.kind_ == order_kind::stage)
        return stage(o);
    fleet::host_info& h = hosts_.at(o.host_);
    if (!h.role_ || h.role_->key_ != o.group_)
        return order_outcome::refused;
    if (o.kind_ == order_kind::leave) {
        if (refuse_leave_while_opening_ && open_heads_.contains(o.group_) &&
            h.role_->phase_ == fleet::group_phase::ready &&
            open_heads_.at(o.group_) == o.host_)
            return order_outcome::refused;
        if (h.role_->rank_ == 0)
            open_heads_.erase(o.group_);
        h.role_.reset();
        return order_outcome::accepted;
    }
    if (h.role_->phase_ == fleet::group_phase::joining)
        return order_outcome::refused;
    if (o.kind_ == order_kind::open)
        return open(o);
    h.role_->phase_ = list_closing_as_ready_ ? fleet::group_phase::ready
                                             : fleet::group_phase::closing;
    jobs_[o.host_].push_back(
        {close_time_, {}, o.group_, fleet::group_phase::ready});
    return order_outcome::accepted;
}


void fake_hosts::finish(const base::host_id& id, const job& j)
{
    fleet::host_info& h = hosts_.at(id);
    if (!j.model_to_load_.empty())
        h.staged_ = {j.model_to_load_};
    if (j.group_.epoch_ == 0 || !h.role_ || h.role_->key_ != j.group_)
        return;
    if (h.role_->phase_ == fleet::group_phase::closing)
        open_heads_.erase(j.group_);
    h.role_->phase_ = j.phase_when_done_;
}


void fake_hosts::advance()
{
    input_.now_ += step_period;
    deliver_delayed_orders();
    double loading = 0;
    for (const auto& [id, jobs] : jobs_) {
        for (const job& j : jobs)
            loading += j.model_to_load_.empty() || is_down(id) ? 0 : 1;
    }
    // Loads beyond the limit share the throughput of the weight store.
    const double speed = input_.before_traffic_ || loading == 0
                             ? 1.0
                             : std::min(1.0, engine_.parallel_loads_ / loading);
    const std::chrono::milliseconds loaded(
        static_cast<std::int64_t>(double(step_period.count()) * speed));
    for (auto& [id, jobs] : jobs_) {
        if (is_down(id))
            continue;
        std::vector<job> done;
        std::erase_if(jobs, [&](job& j) {
            j.remaining_ -= j.model_to_load_.empty() ? step_period : loaded;
            if (j.remaining_.count() > 0)
                return false;
            done.push_back(j);
            return true;
        });
        for (const job& j : done)
            finish(id, j);
    }
}


void fake_hosts::run(planner& p, std::chrono::milliseconds time)
{
    for (auto passed = step_period; passed <= time; passed += step_period) {
        for (const order& o : p.step(input_)) {
            order_outcome outcome = send(o);
            if (outcome == order_outcome::unanswered &&
                report_unanswered_as_accepted_)
                outcome = order_outcome::accepted;
            p.handle_order_outcome(o.number_, outcome, input_.now_);
        }
        advance();
    }
}


void fake_hosts::run_without_planner(std::chrono::milliseconds time)
{
    for (auto passed = step_period; passed <= time; passed += step_period)
        advance();
}


unsigned fake_hosts::open_groups(const std::string& model) const
{
    unsigned count = 0;
    std::map<std::string, unsigned> sizes;
    for (const catalog::model& m : engine_.models_)
        sizes[m.name_] = m.group_size_;
    for (const auto& [key, g] : fleet::derive_groups(hosts_, {"llm"}, sizes)) {
        bool alive = g.model_ == model && fleet::may_serve(g);
        for (const base::host_id& id : g.members_)
            alive = alive && !is_down(id);
        count += alive ? 1 : 0;
    }
    return count;
}

} // namespace monsoondock::placement
