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
constexpr std::size_t hosts_per_group = 2;
constexpr milliseconds tick_length{250};


group_timing short_timing()
{
    group_timing t;
    t.dispatch_lease_ = milliseconds(1500);
    t.probe_interval_ = milliseconds(500);
    t.verdict_interval_ = milliseconds(500);
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


void world::apply(const fault& f)
{
    if (f.kind_ <= fault_kind::dark_domain)
        return apply_to_host(f);
    if (f.kind_ <= fault_kind::cut_host)
        return apply_to_daemon(f);
    apply_to_store(f);
}


void world::apply_to_host(const fault& f)
{
    engine& e = engines_[f.target_ % engines_.size()];
    switch (f.kind_) {
    case fault_kind::kill_host:
        e.alive_ = false;
        break;
    case fault_kind::restart_host:
        e.alive_ = true;
        e.phase_ = engine_phase::idle;
        e.group_ = {};
        break;
    case fault_kind::pause_host:
        e.paused_until_ = now_ + f.length_;
        break;
    case fault_kind::leave_host:
        e.leaving_ = !e.leaving_;
        break;
    case fault_kind::unlist_host:
        e.listed_ = false;
        break;
    case fault_kind::relist_host:
        for (engine& other : engines_) {
            other.listed_ = true;
            other.leaving_ = false;
        }
        break;
    default:
        for (engine& other : engines_) {
            if (other.domain_ == f.target_ % domain_number)
                other.paused_until_ = now_ + f.length_;
        }
    }
}


void world::apply_to_daemon(const fault& f)
{
    daemon& d = daemons_[f.target_ % daemons_.size()];
    const base::time_point until = now_ + f.length_;
    switch (f.kind_) {
    case fault_kind::pause_daemon:
        d.paused_until_ = until;
        break;
    case fault_kind::pause_leader:
        pause_leader(f.target_ % domain_number, until);
        break;
    case fault_kind::restart_daemon:
        restart(d);
        break;
    case fault_kind::cut_store:
        d.store_cut_until_ = until;
        break;
    case fault_kind::cut_peers:
        d.peers_cut_until_ = until;
        break;
    case fault_kind::cut_both:
        d.store_cut_until_ = until;
        d.peers_cut_until_ = until;
        break;
    default:
        d.hosts_cut_until_[f.target_ / 3 % engines_.size()] = until;
    }
}


void world::pause_leader(std::size_t domain, base::time_point until)
{
    for (daemon& d : daemons_) {
        if (d.id_ == truth_[domain].leader_.daemon_)
            d.paused_until_ = until;
    }
}


void world::apply_to_store(const fault& f)
{
    switch (f.kind_) {
    case fault_kind::store_outage:
        store_down_until_ = now_ + f.length_;
        break;
    case fault_kind::lose_answers:
        answers_to_lose_ = 1 + f.target_ % 4;
        break;
    case fault_kind::operator_retires:
        operator_retires(f.target_ % domain_count());
        break;
    default:
        wanted_groups_ = f.target_ % 3;
    }
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


void world::operator_retires(std::size_t domain)
{
    const auto object = store_.get(key(domain));
    if (!object || truth_[domain].groups_.empty())
        return;
    domain_record next = truth_[domain];
    group_record& group = next.groups_[pick(next.groups_.size())];
    const auto phase = next_phase(group.phase_, group_event::retire_asked);
    if (!phase)
        return;
    group.phase_ = *phase;
    check_write(domain, next);
    store_.put(
        key(domain), encode(next), platform::if_version{object->version_});
    truth_[domain] = next;
}


/// Does everything that a daemon does in turn. Dispatches come first, so that
/// a daemon that was paused acts on what it knew before.
void world::tick(std::size_t d)
{
    after(tick_length, [this, d] { tick(d); });
    if (down(daemons_[d].paused_until_))
        return;
    dispatch_all(d);
    for (std::size_t domain = 0; domain < domain_count(); ++domain)
        control(d, domain);
    read_store(d);
    probe_observed(d);
    ask_peer(d);
}


void world::dispatch_all(std::size_t d)
{
    for (const auto& [domain, record] : daemons_[d].records_) {
        for (const group_record& group : record.groups_)
            dispatch(d, view_of(daemons_[d], group));
    }
}


bool world::allowed(const daemon& d, const group_view& view) const
{
    const milliseconds lease =
        mechanisms_.lease_ ? timing_.dispatch_lease_ : milliseconds(1 << 30);
    if (mechanisms_.fencing_)
        return may_dispatch(view, d.evidence_, now_, lease).index() == 0;
    return view.phase_ == group_phase::serving &&
           std::all_of(
               view.members_.begin(),
               view.members_.end(),
               [&](const member_view& m) {
                   const auto found = d.alive_at_.find(m.host_);
                   return found != d.alive_at_.end() &&
                          now_ - found->second < lease;
               });
}


void world::dispatch(std::size_t d, const group_view& view)
{
    if (!allowed(daemons_[d], view))
        return;
    const base::time_point checked = now_;
    const auto flight = static_cast<std::uint64_t>(timing_.margin_.count());
    after(delay(flight), [this, view, checked] { arrive(view, checked); });
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


void world::read_store(std::size_t d)
{
    const base::time_point asked = now_;
    const milliseconds there = chance(5) ? delay(1500) : delay(20);
    const milliseconds back = chance(5) ? delay(1500) : delay(20);
    const std::uint64_t incarnation = daemons_[d].incarnation_;
    after(there, [this, d, asked, back, incarnation] {
        if (down(store_down_until_) || down(daemons_[d].store_cut_until_) ||
            daemons_[d].incarnation_ != incarnation)
            return;
        // The list of hosts lags behind.
        if (chance(20)) {
            listed_.clear();
            for (const engine& e : engines_) {
                if (!e.listed_)
                    continue;
                host_view h;
                h.id_ = e.id_;
                h.domain_ = base::fabric_domain_id{std::to_string(e.domain_)};
                h.leaving_ = e.leaving_;
                h.checks_generation_ = e.checks_;
                listed_.push_back(std::move(h));
            }
        }
        std::map<std::size_t, platform::object> read;
        for (std::size_t domain = 0; domain < domain_count(); ++domain) {
            if (const auto object = store_.get(key(domain)))
                read[domain] = *object;
        }
        on_daemon(d, back, [this, asked, read, hosts = listed_](daemon& me) {
            me.hosts_ = hosts;
            for (const auto& [domain, object] : read) {
                if (object.version_ < me.versions_[domain])
                    continue;
                if (object.version_ > me.versions_[domain]) {
                    const auto record = decode_domain_record(object.value_);
                    if (!base::ok(record))
                        return fail(base::error(record).message_);
                    me.records_[domain] = base::value(record);
                    me.versions_[domain] = object.version_;
                }
                const control_identity self{me.id_, me.incarnation_, 0};
                note_read(
                    me.controls_[domain],
                    self,
                    me.records_[domain],
                    asked,
                    now_,
                    timing_);
                if (!mechanisms_.term_wait_) {
                    me.controls_[domain].lead_.act_from_ = now_;
                    me.controls_[domain].lead_.lease_until_ =
                        base::time_point::max();
                }
            }
        });
    });
}


void world::probe(std::size_t d, std::size_t host)
{
    const base::time_point asked = now_;
    const milliseconds there = chance(5) ? delay(800) : delay(20);
    const milliseconds back = chance(5) ? delay(800) : delay(20);
    after(there, [this, d, host, asked, back] {
        const engine& e = engines_[host];
        const base::host_id id = e.id_;
        const bool silent = !e.alive_ || down(e.paused_until_) ||
                            down(daemons_[d].hosts_cut_until_[host]);
        if (silent)
            return on_daemon(
                d, milliseconds(300), [this, id, asked](daemon& me) {
                    me.contacts_.note_failure(id, asked);
                    me.evidence_.note_broken(id, now_);
                    me.alive_at_.erase(id);
                });
        host_report report;
        report.group_ = e.group_;
        report.generation_ = e.generation_;
        report.phase_ = e.phase_;
        report.asked_ = asked;
        on_daemon(d, back, [this, id, report](daemon& me) {
            host_report taken = report;
            taken.answered_ = now_;
            me.contacts_.note_report(id, taken);
            me.evidence_.note_report(id, taken);
            if (taken.phase_ == engine_phase::ready)
                me.alive_at_[id] = taken.asked_;
        });
    });
}


void world::probe_observed(std::size_t d)
{
    const auto ids = daemon_ids();
    for (const auto& [domain, record] : daemons_[d].records_) {
        for (const group_record& group : record.groups_) {
            const auto observers = observers_of(group.id_, ids);
            if (std::count(
                    observers.begin(), observers.end(), daemons_[d].id_) == 0)
                continue;
            for (const base::host_id& host : group.hosts_) {
                if (chance(60))
                    probe(d, host_index(host));
            }
        }
    }
}


verdict_reply world::answer(const daemon& peer, std::uint64_t stamp) const
{
    verdict_reply reply{stamp, {}, {}};
    for (const auto& [domain, record] : peer.records_) {
        for (const group_record& group : record.groups_)
            reply.entries_.push_back(make_verdict(
                view_of(peer, group),
                peer.evidence_,
                now_,
                timing_.dispatch_lease_));
        const auto claim = make_claim(
            peer.controls_.at(domain), record.domain_, now_, timing_);
        if (claim)
            reply.leases_.push_back(*claim);
    }
    return reply;
}


void world::ask_peer(std::size_t d)
{
    const std::size_t p = (d + 1 + pick(daemons_.size() - 1)) % daemons_.size();
    const daemon& me = daemons_[d];
    const verdict_request request =
        daemons_[d].exchange_.ask(daemons_[p].id_, {}, now_);
    const base::daemon_id peer = daemons_[p].id_;
    if (down(me.peers_cut_until_) || chance(10))
        return;
    on_daemon(p, delay(40), [this, d, request, peer](daemon& other) {
        if (down(other.peers_cut_until_))
            return;
        const verdict_reply reply = answer(other, request.stamp_);
        const int copies = chance(10) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const milliseconds back = chance(10) ? delay(2000) : delay(40);
            on_daemon(d, back, [this, reply, peer](daemon& asker) {
                const auto asked = asker.exchange_.accept(peer, reply);
                if (!asked)
                    return;
                for (const auto& [domain, record] : asker.records_) {
                    for (const group_record& group : record.groups_) {
                        for (const verdict_entry& entry : reply.entries_)
                            take_verdict(
                                asker.evidence_,
                                view_of(asker, group),
                                entry,
                                *asked);
                    }
                    for (const lease_claim& claim : reply.leases_) {
                        if (claim.domain_ ==
                            base::stable_hash(record.domain_.value_))
                            note_claim(asker.controls_[domain], claim, *asked);
                    }
                }
            });
        }
    });
}


group_timing world::leader_timing() const
{
    group_timing t = timing_;
    if (!mechanisms_.release_wait_) {
        t.dispatch_lease_ = milliseconds(0);
        t.order_timeout_ = milliseconds(0);
        t.margin_ = milliseconds(0);
    }
    return t;
}


void world::control(std::size_t d, std::size_t domain)
{
    daemon& me = daemons_[d];
    domain_record record;
    record.domain_ = base::fabric_domain_id{std::to_string(domain)};
    if (me.records_.contains(domain))
        record = me.records_[domain];
    const auto hosts = hosts_of(me, domain);
    const std::vector<deployment_demand> demand{
        {base::deployment_id{"x"}, hosts_per_group, 1, wanted_groups_, 2}};
    const control_identity self{
        me.id_,
        me.incarnation_,
        candidate_rank(record.domain_, daemon_ids(), me.id_)};
    const leader_input input{
        record, hosts, demand, 0, me.evidence_, me.contacts_, now_};
    const leader_step step =
        control_step(me.controls_[domain], self, input, leader_timing());
    for (const base::host_id& host : step.probes_)
        probe(d, host_index(host));
    for (const host_order& order : step.orders_)
        send_order(d, {order, me.controls_[domain].lead_.won_.term_});
    if (step.write_)
        write(d, domain, *step.write_);
}


void world::write(std::size_t d, std::size_t domain, const domain_record& next)
{
    const daemon& me = daemons_[d];
    const auto known = me.versions_.find(domain);
    const platform::write_condition condition =
        known == me.versions_.end() || known->second.value_ == 0
            ? platform::write_condition(platform::if_absent{})
            : platform::write_condition(platform::if_version{known->second});
    const milliseconds there = chance(5) ? delay(3000) : delay(20);
    after(there, [this, d, domain, next, condition] {
        if (down(store_down_until_) || down(daemons_[d].store_cut_until_))
            return;
        const auto outcome = store_.put(key(domain), encode(next), condition);
        if (!std::holds_alternative<platform::written>(outcome))
            return;
        check_write(domain, next);
        truth_[domain] = next;
        // The writer learns of it from its next read, answer or no answer.
        if (answers_to_lose_ > 0)
            --answers_to_lose_;
    });
}


void world::check_write(std::size_t domain, const domain_record& next)
{
    domain_record before = truth_[domain];
    if (before.domain_.value_.empty())
        before.domain_ = next.domain_;
    if (const auto refusal = check_change(before, next))
        fail("bad write: " + refusal->message_);
    std::vector<domain_record> all{next};
    for (const auto& [other, record] : truth_) {
        if (other != domain)
            all.push_back(record);
    }
    if (const auto refusal = check_domains(all))
        fail("bad write: " + refusal->message_);
    coverage_.terms_ += next.leader_.term_ - before.leader_.term_;
    coverage_.formed_ += next.next_.value_ - before.next_.value_;
    for (const group_record& group : next.groups_) {
        const bool before_retired = std::any_of(
            before.groups_.begin(), before.groups_.end(), [&](const auto& g) {
                return g.id_ == group.id_ && g.phase_ == group.phase_;
            });
        if (group.phase_ == group_phase::retired && !before_retired)
            ++coverage_.released_;
    }
}


void world::send_order(std::size_t d, const sent_order& order)
{
    const std::size_t host = host_index(order.order_.host_);
    if (down(daemons_[d].hosts_cut_until_[host]))
        return;
    const auto longest =
        static_cast<std::uint64_t>(timing_.order_timeout_.count());
    const int copies = chance(5) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const milliseconds flight = chance(10) ? delay(longest) : delay(20);
        after(flight, [this, host, order] {
            engine& e = engines_[host];
            if (!e.alive_)
                return;
            if (down(e.paused_until_))
                e.waiting_.push_back(order);
            else
                obey(e, order);
        });
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
