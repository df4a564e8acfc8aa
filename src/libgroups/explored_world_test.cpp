#include "explored_world_test.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>
#include <monsoondock/groups/may_dispatch.hpp>
#include <monsoondock/groups/observers.hpp>

#include <algorithm>

namespace monsoondock::groups::test {

namespace {

constexpr std::size_t daemon_number = 3;
constexpr std::size_t domain_number = 2;
constexpr std::size_t hosts_per_domain = 5;


group_timing short_timing()
{
    group_timing t;
    t.dispatch_lease_ = milliseconds(1500);
    t.probe_interval_ = milliseconds(500);
    t.health_interval_ = milliseconds(500);
    t.term_lease_ = milliseconds(1500);
    t.challenge_after_ = milliseconds(1500);
    t.challenge_step_ = milliseconds(500);
    t.challenge_wait_ = milliseconds(700);
    t.order_timeout_ = milliseconds(600);
    t.margin_ = milliseconds(300);
    t.repair_after_ = milliseconds(2000);
    t.formation_timeout_ = milliseconds(12000);
    t.drain_timeout_ = milliseconds(2000);
    t.contact_lifetime_ = milliseconds(2000);
    return t;
}

} // namespace

world::world(std::uint64_t seed, mechanisms m)
    : random_(seed ^ 0x9e3779b97f4a7c15ULL), mechanisms_(m),
      timing_(short_timing()), now_(milliseconds(1000000))
{
    // All engines check generations, or none, or some.
    const std::uint64_t checking = pick(3) * 50;
    for (std::size_t i = 0; i < domain_number * hosts_per_domain; ++i) {
        engine e;
        e.id_ = base::host_id{"h" + std::to_string(i)};
        e.domain_ = i / hosts_per_domain;
        e.checks_ = mechanisms_.fencing_ && chance(checking);
        engines_.push_back(std::move(e));
    }
    for (std::size_t i = 0; i < daemon_number; ++i) {
        daemon d;
        d.id_ = base::daemon_id{"d" + std::to_string(i)};
        daemons_.push_back(std::move(d));
    }
    for (std::size_t d = 0; d < daemon_number; ++d) {
        restart(daemons_[d]);
        after(delay(250), [this, d] { tick(d); });
    }
}


std::optional<std::string>
world::run(const fault_list& faults, milliseconds end)
{
    const base::time_point begin = now_;
    for (const fault& f : faults)
        after(f.at_, [this, f] { apply(f); });
    while (!events_.empty() && !violation_) {
        event next = events_.top();
        events_.pop();
        if (next.at_ > begin + end)
            break;
        now_ = next.at_;
        step_engines();
        next.action_();
    }
    return violation_;
}


std::uint64_t world::pick(std::uint64_t limit)
{
    return random_() % limit;
}


bool world::chance(std::uint64_t percent)
{
    return pick(100) < percent;
}


milliseconds world::delay(std::uint64_t longest_ms)
{
    return milliseconds(1 + pick(longest_ms));
}


void world::after(milliseconds wait, std::function<void()> action)
{
    events_.push({now_ + wait, events_made_++, std::move(action)});
}


/// Runs action on a daemon unless it was restarted; a paused one runs it when
/// it goes on.
void world::on_daemon(
    std::size_t d, milliseconds wait, std::function<void(daemon&)> action)
{
    const std::uint64_t incarnation = daemons_[d].incarnation_;
    after(wait, [this, d, incarnation, action = std::move(action)] {
        daemon& target = daemons_[d];
        if (target.incarnation_ != incarnation)
            return;
        if (!down(target.paused_until_))
            return action(target);
        const auto rest = std::chrono::ceil<milliseconds>(
            target.paused_until_ - now_ + milliseconds(1));
        on_daemon(d, rest, action);
    });
}


void world::fail(const std::string& what)
{
    if (violation_)
        return;
    const auto ms = std::chrono::duration_cast<milliseconds>(
        now_.time_since_epoch() - milliseconds(1000000));
    violation_ = "at " + std::to_string(ms.count()) + " ms: " + what;
}


void world::restart(daemon& d)
{
    daemon fresh;
    fresh.id_ = d.id_;
    fresh.incarnation_ = d.incarnation_ + 1;
    for (std::size_t i = 0; i < domain_count(); ++i)
        fresh.controls_[i] = make_control(now_);
    d = std::move(fresh);
}


void world::arrive(const group_view& view, base::time_point checked)
{
    const engine& head = engines_[host_index(view.members_[0].host_)];
    if (!head.alive_ || down(head.paused_until_))
        return;
    const bool stale = head.generation_ != view.generation_;
    if (head.phase_ != engine_phase::ready || (head.checks_ && stale)) {
        ++coverage_.refused_;
        return;
    }
    ++coverage_.accepted_;
    for (const member_view& member : view.members_) {
        engine& e = engines_[host_index(member.host_)];
        const auto ready = e.last_ready_.find(view.generation_);
        if (ready == e.last_ready_.end() ||
            checked - ready->second >= timing_.dispatch_lease_)
            fail(
                "group " + view.id_.value_ + " took a request " +
                "longer than a lease after it lost " + member.host_.value_);
    }
    for (const auto& [domain, record] : truth_) {
        for (const group_record& group : record.groups_) {
            if (group.phase_ == group_phase::retired || group.id_ == view.id_)
                continue;
            for (const member_view& member : view.members_) {
                if (std::count(
                        group.hosts_.begin(),
                        group.hosts_.end(),
                        member.host_) != 0)
                    fail(
                        "group " + view.id_.value_ + " took a request " +
                        "after " + member.host_.value_ + " went to " +
                        group.id_.value_);
            }
        }
    }
}


void world::obey(engine& e, const sent_order& sent)
{
    const host_order& order = sent.order_;
    if (sent.term_ < e.highest_term_)
        fail(
            "engine " + e.id_.value_ + " got an order of term " +
            std::to_string(sent.term_) + " after one of term " +
            std::to_string(e.highest_term_));
    e.highest_term_ = std::max(e.highest_term_, sent.term_);
    if (e.checks_ && order.generation_ < e.highest_)
        return;
    if (order.kind_ == order_kind::unload) {
        e.phase_ = engine_phase::idle;
        e.group_ = {};
        return;
    }
    if (order.generation_ < e.highest_)
        fail(
            "engine " + e.id_.value_ + " loaded " + order.group_.value_ +
            " after a later group");
    e.highest_ = std::max(e.highest_, order.generation_);
    const bool same = e.phase_ != engine_phase::idle &&
                      e.group_ == order.group_ &&
                      e.generation_ == order.generation_;
    if (same)
        return;
    e.group_ = order.group_;
    e.generation_ = order.generation_;
    e.phase_ = engine_phase::loading;
    e.ready_at_ = now_ + milliseconds(50) + delay(chance(20) ? 5000 : 200);
}


void world::step_engines()
{
    for (engine& e : engines_) {
        if (!e.alive_ || down(e.paused_until_)) {
            if (!e.alive_)
                e.waiting_.clear();
            continue;
        }
        std::vector<sent_order> waiting;
        waiting.swap(e.waiting_);
        for (const sent_order& order : waiting)
            obey(e, order);
        if (e.phase_ == engine_phase::loading && now_ >= e.ready_at_)
            e.phase_ = engine_phase::ready;
        if (e.phase_ == engine_phase::ready)
            e.last_ready_[e.generation_] = now_;
    }
}


std::size_t world::domain_count() const
{
    return domain_number;
}


std::string world::key(std::size_t domain) const
{
    return domain_key(base::fabric_domain_id{std::to_string(domain)});
}


std::size_t world::host_index(const base::host_id& id) const
{
    return std::stoul(id.value_.substr(1));
}


std::vector<base::daemon_id> world::daemon_ids() const
{
    std::vector<base::daemon_id> ids;
    for (const daemon& d : daemons_)
        ids.push_back(d.id_);
    return ids;
}


group_view world::view_of(const daemon& d, const group_record& group) const
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


/// Without the single object, the two records share all hosts, and each
/// leader leaves out what it last read in the other record.
std::vector<host_view>
world::hosts_of(const daemon& d, std::size_t domain) const
{
    std::vector<host_view> hosts;
    for (const host_view& h : d.hosts_) {
        if (mechanisms_.one_object_) {
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
