#include "fake_hosts_test.hpp"

#include <monsoondock/fleet/replica_group.hpp>
#include <monsoondock/placement/join_time.hpp>

#include <algorithm>

namespace monsoondock::placement {

namespace {

constexpr std::chrono::milliseconds step_time{100};
// Times of loads before traffic are a tenth.
constexpr int early_factor = 10;

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


void fake_hosts::silence(const std::string& id)
{
    silent_.insert({id});
    jobs_.erase({id});
}


void fake_hosts::restart(const std::string& id)
{
    silent_.erase({id});
    jobs_.erase({id});
    last_models_.erase({id});
    seen_epochs_.erase({id});
    std::erase_if(
        open_heads_, [&](const auto& e) { return e.second.value_ == id; });
    fleet::host_info& h = hosts_.at({id});
    ++h.process_start_ms_;
    h.role_.reset();
    h.model_.clear();
}


void fake_hosts::cut_off(const std::string& id)
{
    cut_off_.insert({id});
}


void fake_hosts::reconnect(const std::string& id)
{
    cut_off_.erase({id});
}


void fake_hosts::unlist(const std::string& id)
{
    hosts_.erase({id});
}


void fake_hosts::lapse(const std::string& id)
{
    auto entry = hosts_.extract({id});
    lapsed_.insert(std::move(entry));
}


void fake_hosts::relist(const std::string& id)
{
    auto entry = lapsed_.extract({id});
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


bool fake_hosts::is_silent(const base::host_id& id) const
{
    return silent_.contains(id) || !hosts_.contains(id);
}


bool fake_hosts::has_open_head(const base::host_id& id) const
{
    const auto& role = hosts_.at(id).role_;
    if (!role)
        return false;
    const auto head = open_heads_.find(role->key_);
    return head != open_heads_.end() && !silent_.contains(head->second);
}


const catalog::model& fake_hosts::model_named(const std::string& name) const
{
    return *std::find_if(
        engine_.models_.begin(), engine_.models_.end(), [&](const auto& m) {
            return m.name_ == name;
        });
}


order_outcome fake_hosts::join(const order& o)
{
    fleet::host_info& h = hosts_.at(o.host_);
    if (o.group_.epoch_ < seen_epochs_[o.host_])
        return order_outcome::refused;
    if (h.role_ && h.role_->key_ == o.group_)
        return member_lists_[o.host_] == o.members_ ? order_outcome::accepted
                                                    : order_outcome::refused;
    if (has_open_head(o.host_))
        ++joins_of_open_groups_;
    const catalog::model& m = model_named(o.model_);
    const auto source = find_weights(h, last_models_[o.host_], m);
    job j{join_time(source, m), {}, o.group_, fleet::group_phase::ready};
    if (source == weights_source::weight_store) {
        j.load_ = o.model_;
        ++loads_begun_;
        if (input_.before_traffic_)
            j.left_ /= early_factor;
    }
    const auto rank = std::find(o.members_.begin(), o.members_.end(), o.host_) -
                      o.members_.begin();
    h.role_ = fleet::group_role{
        o.group_, static_cast<unsigned>(rank), fleet::group_phase::joining};
    h.model_ = o.model_;
    last_models_[o.host_] = o.model_;
    seen_epochs_[o.host_] = o.group_.epoch_;
    member_lists_[o.host_] = o.members_;
    jobs_[o.host_].push_back(j);
    return order_outcome::accepted;
}


order_outcome fake_hosts::stage(const order& o)
{
    job j{model_named(o.model_).load_time_, o.model_, {}, {}};
    ++loads_begun_;
    if (input_.before_traffic_)
        j.left_ /= early_factor;
    jobs_[o.host_].push_back(j);
    return order_outcome::accepted;
}


order_outcome fake_hosts::open(const order& o)
{
    // A late one finds the head open; nothing changes, whatever its members
    // were told since.
    if (open_heads_.contains(o.group_))
        return order_outcome::accepted;
    for (const base::host_id& id : member_lists_[o.host_]) {
        const auto& role =
            hosts_.contains(id) ? hosts_.at(id).role_ : std::nullopt;
        if (!role || role->key_ != o.group_ ||
            role->phase_ == fleet::group_phase::joining)
            ++early_opens_;
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
        late_.push_back({o, input_.now_ + delay_});
        return order_outcome::unanswered;
    }
    const order_outcome outcome = apply(o);
    if (lost_answers_ == 0)
        return outcome;
    --lost_answers_;
    return order_outcome::unanswered;
}


void fake_hosts::deliver_late()
{
    std::vector<late_order> due;
    std::erase_if(late_, [&](const late_order& late) {
        if (late.due_ > input_.now_)
            return false;
        due.push_back(late);
        return true;
    });
    for (const late_order& late : due)
        apply(late.order_);
}


order_outcome fake_hosts::apply(const order& o)
{
    ++orders_;
    if (is_silent(o.host_) || cut_off_.contains(o.host_))
        return order_outcome::unanswered;
    if (o.kind_ == order_kind::join)
        return join(o);
    if (o.kind_ == order_kind::stage)
        return stage(o);
    fleet::host_info& h = hosts_.at(o.host_);
    if (!h.role_ || h.role_->key_ != o.group_)
        return order_outcome::refused;
    if (o.kind_ == order_kind::leave) {
        if (refuses_leave_while_opening_ && open_heads_.contains(o.group_) &&
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
    h.role_->phase_ = lists_close_early_ ? fleet::group_phase::ready
                                         : fleet::group_phase::closing;
    jobs_[o.host_].push_back(
        {close_time_, {}, o.group_, fleet::group_phase::ready});
    return order_outcome::accepted;
}


void fake_hosts::finish(const base::host_id& id, const job& j)
{
    fleet::host_info& h = hosts_.at(id);
    if (!j.load_.empty())
        h.staged_ = {j.load_};
    if (j.group_.epoch_ == 0 || !h.role_ || h.role_->key_ != j.group_)
        return;
    if (h.role_->phase_ == fleet::group_phase::closing)
        open_heads_.erase(j.group_);
    h.role_->phase_ = j.becomes_;
}


void fake_hosts::advance()
{
    input_.now_ += step_time;
    deliver_late();
    double loading = 0;
    for (const auto& [id, jobs] : jobs_) {
        for (const job& j : jobs)
            loading += j.load_.empty() || is_silent(id) ? 0 : 1;
    }
    // Loads beyond the limit share what the weight store gives.
    const double speed = input_.before_traffic_ || loading == 0
                             ? 1.0
                             : std::min(1.0, engine_.parallel_loads_ / loading);
    const std::chrono::milliseconds loaded(
        static_cast<std::int64_t>(double(step_time.count()) * speed));
    for (auto& [id, jobs] : jobs_) {
        if (is_silent(id))
            continue;
        std::vector<job> done;
        std::erase_if(jobs, [&](job& j) {
            j.left_ -= j.load_.empty() ? step_time : loaded;
            if (j.left_.count() > 0)
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
    for (auto passed = step_time; passed <= time; passed += step_time) {
        for (const order& o : p.step(input_)) {
            order_outcome outcome = send(o);
            if (outcome == order_outcome::unanswered &&
                unanswered_passes_for_accepted_)
                outcome = order_outcome::accepted;
            p.handle_order_outcome(o.number_, outcome, input_.now_);
        }
        advance();
    }
}


void fake_hosts::pass(std::chrono::milliseconds time)
{
    for (auto passed = step_time; passed <= time; passed += step_time)
        advance();
}


unsigned fake_hosts::open_groups(const std::string& model) const
{
    unsigned count = 0;
    const std::map<std::string, unsigned> sizes{{"large", 4}, {"small", 2}};
    for (const auto& [key, g] : fleet::derive_groups(hosts_, {"llm"}, sizes)) {
        bool alive = g.model_ == model && fleet::may_serve(g);
        for (const base::host_id& id : g.members_)
            alive = alive && !is_silent(id);
        count += alive ? 1 : 0;
    }
    return count;
}

} // namespace monsoondock::placement
