#include "simulation_test.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>
#include <monsoondock/groups/may_dispatch.hpp>
#include <monsoondock/groups/observers.hpp>

#include <algorithm>

namespace monsoondock::groups::test {

namespace {

constexpr std::size_t simulated_daemons = 3;
constexpr std::size_t simulated_domains = 2;
constexpr std::size_t hosts_per_domain = 5;


group_timing short_timing()
{
    group_timing t;
    t.dispatch_lease_ = milliseconds(1500);
    t.probe_interval_ = milliseconds(500);
    t.health_interval_ = milliseconds(500);
    t.term_lease_ = milliseconds(1500);
    t.challenge_after_ = milliseconds(1500);
    t.challenge_rank_delay_ = milliseconds(500);
    t.challenge_timeout_ = milliseconds(700);
    t.order_timeout_ = milliseconds(600);
    t.margin_ = milliseconds(300);
    t.member_lost_after_ = milliseconds(2000);
    t.formation_timeout_ = milliseconds(12000);
    t.drain_timeout_ = milliseconds(2000);
    t.contact_lifetime_ = milliseconds(2000);
    return t;
}

} // namespace

// The seed of random_ differs from that of make_faults, so that the simulation
// does not draw the same random numbers as the faults.
simulation::simulation(std::uint64_t seed, safeguards enabled)
    : random_(seed ^ 0x9e3779b97f4a7c15ULL), safeguards_(enabled),
      timing_(short_timing()), now_(milliseconds(1000000))
{
    // None, about half or all of the engines check generations.
    const std::uint64_t checking = random_below(3) * 50;
    for (std::size_t i = 0; i < simulated_domains * hosts_per_domain; ++i) {
        engine e;
        e.id_ = base::host_id{"h" + std::to_string(i)};
        e.domain_ = i / hosts_per_domain;
        e.checks_generation_ = safeguards_.fencing_ && chance(checking);
        engines_.push_back(std::move(e));
    }
    for (std::size_t i = 0; i < simulated_daemons; ++i) {
        daemon d;
        d.id_ = base::daemon_id{"d" + std::to_string(i)};
        daemons_.push_back(std::move(d));
    }
    for (std::size_t d = 0; d < simulated_daemons; ++d) {
        restart(daemons_[d]);
        schedule(random_delay(250), [this, d] { tick(d); });
    }
}


std::optional<std::string>
simulation::run(const fault_list& faults, milliseconds end)
{
    const base::time_point begin = now_;
    for (const fault& f : faults)
        schedule(f.at_, [this, f] { apply(f); });
    while (!events_.empty() && !violation_) {
        event next = events_.top();
        events_.pop();
        if (next.at_ > begin + end)
            break;
        now_ = next.at_;
        advance_engines();
        next.action_();
    }
    return violation_;
}


std::uint64_t simulation::random_below(std::uint64_t limit)
{
    return random_() % limit;
}


bool simulation::chance(std::uint64_t percent)
{
    return random_below(100) < percent;
}


milliseconds simulation::random_delay(std::uint64_t longest_ms)
{
    return milliseconds(1 + random_below(longest_ms));
}


void simulation::schedule(milliseconds wait, std::function<void()> action)
{
    events_.push({now_ + wait, event_count_++, std::move(action)});
}


/// Runs action on a daemon unless the daemon was restarted in the meantime. A
/// paused daemon runs it when the pause ends.
void simulation::on_daemon(
    std::size_t d, milliseconds wait, std::function<void(daemon&)> action)
{
    const std::uint64_t incarnation = daemons_[d].incarnation_;
    schedule(wait, [this, d, incarnation, action = std::move(action)] {
        daemon& target = daemons_[d];
        if (target.incarnation_ != incarnation)
            return;
        if (!now_before(target.paused_until_))
            return action(target);
        const auto rest = std::chrono::ceil<milliseconds>(
            target.paused_until_ - now_ + milliseconds(1));
        on_daemon(d, rest, action);
    });
}


void simulation::record_violation(const std::string& what)
{
    if (violation_)
        return;
    const auto ms = std::chrono::duration_cast<milliseconds>(
        now_.time_since_epoch() - milliseconds(1000000));
    violation_ = "at " + std::to_string(ms.count()) + " ms: " + what;
}


void simulation::restart(daemon& d)
{
    daemon fresh;
    fresh.id_ = d.id_;
    fresh.incarnation_ = d.incarnation_ + 1;
    for (std::size_t i = 0; i < domain_count(); ++i)
        fresh.controls_[i] = make_control(now_);
    d = std::move(fresh);
}


void simulation::receive_dispatch(
    const group_view& view, base::time_point checked)
{
    const engine& head = engines_[host_index(view.members_[0].host_)];
    if (!head.alive_ || now_before(head.paused_until_))
        return;
    const bool stale = head.generation_ != view.generation_;
    if (head.phase_ != engine_phase::ready ||
        (head.checks_generation_ && stale)) {
        ++coverage_.refused_;
        return;
    }
    ++coverage_.accepted_;
    for (const member_view& member : view.members_) {
        engine& e = engines_[host_index(member.host_)];
        const auto ready = e.last_ready_.find(view.generation_);
        if (ready == e.last_ready_.end() ||
            checked - ready->second >= timing_.dispatch_lease_)
            record_violation(
                "group " + view.id_.value_ + " accepted a request " +
                "more than a lease after the last readiness of " +
                member.host_.value_);
    }
    for (const auto& [domain, record] : committed_) {
        for (const group_record& group : record.groups_) {
            if (group.phase_ == group_phase::retired || group.id_ == view.id_)
                continue;
            for (const member_view& member : view.members_) {
                if (std::count(
                        group.hosts_.begin(),
                        group.hosts_.end(),
                        member.host_) != 0)
                    record_violation(
                        "group " + view.id_.value_ + " accepted a request " +
                        "after " + member.host_.value_ + " was assigned to " +
                        group.id_.value_);
            }
        }
    }
}


void simulation::execute_order(engine& e, const sent_order& sent)
{
    const host_order& order = sent.order_;
    if (sent.term_ < e.highest_term_)
        record_violation(
            "engine " + e.id_.value_ + " received an order of term " +
            std::to_string(sent.term_) + " after one of term " +
            std::to_string(e.highest_term_));
    e.highest_term_ = std::max(e.highest_term_, sent.term_);
    if (e.checks_generation_ && order.generation_ < e.highest_generation_)
        return;
    if (order.kind_ == order_kind::unload) {
        e.phase_ = engine_phase::idle;
        e.group_ = {};
        return;
    }
    if (order.generation_ < e.highest_generation_)
        record_violation(
            "engine " + e.id_.value_ + " loaded " + order.group_.value_ +
            " after a group of a higher generation");
    e.highest_generation_ = std::max(e.highest_generation_, order.generation_);
    const bool same = e.phase_ != engine_phase::idle &&
                      e.group_ == order.group_ &&
                      e.generation_ == order.generation_;
    if (same)
        return;
    e.group_ = order.group_;
    e.generation_ = order.generation_;
    e.phase_ = engine_phase::loading;
    e.ready_at_ =
        now_ + milliseconds(50) + random_delay(chance(20) ? 5000 : 200);
}


void simulation::advance_engines()
{
    for (engine& e : engines_) {
        if (!e.alive_ || now_before(e.paused_until_)) {
            if (!e.alive_)
                e.queued_orders_.clear();
            continue;
        }
        std::vector<sent_order> waiting;
        waiting.swap(e.queued_orders_);
        for (const sent_order& order : waiting)
            execute_order(e, order);
        if (e.phase_ == engine_phase::loading && now_ >= e.ready_at_)
            e.phase_ = engine_phase::ready;
        if (e.phase_ == engine_phase::ready)
            e.last_ready_[e.generation_] = now_;
    }
}


std::size_t simulation::domain_count() const
{
    return simulated_domains;
}


std::string simulation::key(std::size_t domain) const
{
    return domain_key(base::fabric_domain_id{std::to_string(domain)});
}


std::size_t simulation::host_index(const base::host_id& id) const
{
    return std::stoul(id.value_.substr(1));
}


std::vector<base::daemon_id> simulation::daemon_ids() const
{
    std::vector<base::daemon_id> ids;
    for (const daemon& d : daemons_)
        ids.push_back(d.id_);
    return ids;
}


group_view simulation::view_of(const daemon& d, const group_record& group) const
{
    group_view view{
        group.id_,
        group.deployment_,
        group.generation_,
        group.phase_,
        {},
        false};
    for (const base::host_id& host : group.hosts_) {
        member_view member{host, "", false, false};
        for (const host_view& h : d.hosts_) {
            if (h.id_ != host)
                continue;
            member.listed_ = true;
            member.leaving_ = h.leaving_;
        }
        view.members_.push_back(std::move(member));
    }
    return view;
}


/// Returns the hosts that the leader of a domain may use. When single_record_
/// is disabled, the two records share all hosts, and each leader leaves out the
/// hosts that it last read as assigned in the other record.
std::vector<host_view>
simulation::hosts_of(const daemon& d, std::size_t domain) const
{
    std::vector<host_view> hosts;
    for (const host_view& h : d.hosts_) {
        if (safeguards_.single_record_) {
            if (h.domain_.value_ == std::to_string(domain))
                hosts.push_back(h);
            continue;
        }
        bool taken = false;
        for (const auto& [other, record] : d.records_) {
            for (const group_record& g : record.groups_) {
                taken =
                    taken ||
                    (other != domain && g.phase_ != group_phase::retired &&
                     std::count(g.hosts_.begin(), g.hosts_.end(), h.id_) != 0);
            }
        }
        if (!taken)
            hosts.push_back(h);
    }
    return hosts;
}

} // namespace monsoondock::groups::test
