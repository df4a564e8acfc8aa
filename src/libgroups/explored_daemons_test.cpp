#include "explored_world_test.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>
#include <monsoondock/groups/may_dispatch.hpp>
#include <monsoondock/groups/observers.hpp>

#include <algorithm>

namespace monsoondock::groups::test {

// What daemons do: dispatch, read, probe, ask peers, lead.

namespace {

constexpr std::size_t hosts_per_group = 2;
constexpr milliseconds tick_length{250};

} // namespace

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
                observe_record(
                    me.controls_[domain],
                    self,
                    me.records_[domain],
                    asked,
                    now_,
                    timing_);
                if (!mechanisms_.term_wait_) {
                    me.controls_[domain].leadership_.act_from_ = now_;
                    me.controls_[domain].leadership_.lease_until_ =
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
                    me.contacts_.record_probe_failure(id, asked);
                    me.evidence_.invalidate_host(id, now_);
                    me.alive_at_.erase(id);
                });
        host_report report;
        report.group_ = e.group_;
        report.generation_ = e.generation_;
        report.phase_ = e.phase_;
        report.sent_at_ = asked;
        on_daemon(d, back, [this, id, report](daemon& me) {
            host_report taken = report;
            taken.received_at_ = now_;
            me.contacts_.record_report(id, taken);
            me.evidence_.record_report(id, taken);
            if (taken.phase_ == engine_phase::ready)
                me.alive_at_[id] = taken.sent_at_;
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


health_reply world::answer(const daemon& peer, std::uint64_t stamp) const
{
    health_reply reply{stamp, {}, {}};
    for (const auto& [domain, record] : peer.records_) {
        for (const group_record& group : record.groups_)
            reply.entries_.push_back(make_group_health(
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
    const health_request request =
        daemons_[d].exchange_.ask(daemons_[p].id_, {}, now_);
    const base::daemon_id peer = daemons_[p].id_;
    if (down(me.peers_cut_until_) || chance(10))
        return;
    on_daemon(p, delay(40), [this, d, request, peer](daemon& other) {
        if (down(other.peers_cut_until_))
            return;
        const health_reply reply = answer(other, request.stamp_);
        const int copies = chance(10) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const milliseconds back = chance(10) ? delay(2000) : delay(40);
            on_daemon(d, back, [this, reply, peer](daemon& asker) {
                const auto asked = asker.exchange_.accept(peer, reply);
                if (!asked)
                    return;
                for (const auto& [domain, record] : asker.records_) {
                    for (const group_record& group : record.groups_) {
                        for (const group_health& entry : reply.entries_)
                            apply_group_health(
                                asker.evidence_,
                                view_of(asker, group),
                                entry,
                                *asked);
                    }
                    for (const lease_claim& claim : reply.leases_) {
                        if (claim.domain_ ==
                            base::stable_hash(record.domain_.value_))
                            observe_claim(
                                asker.controls_[domain], claim, *asked);
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
        send_order(d, {order, me.controls_[domain].leadership_.won_.term_});
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

} // namespace monsoondock::groups::test
