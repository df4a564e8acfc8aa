#include "simulation_test.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>
#include <monsoondock/groups/may_dispatch.hpp>
#include <monsoondock/groups/observers.hpp>

#include <algorithm>

namespace monsoondock::groups::test {

// The daemons of the simulation: dispatch, store reads, probes, health requests
// and leadership.

namespace {

constexpr std::size_t hosts_per_group = 2;
constexpr milliseconds tick_length{250};

} // namespace

/// Runs one round of a daemon. Dispatches come first, so that a daemon that was
/// paused acts on outdated state.
void simulation::tick(std::size_t d)
{
    schedule(tick_length, [this, d] { tick(d); });
    if (now_before(daemons_[d].paused_until_))
        return;
    dispatch_to_all_groups(d);
    for (std::size_t domain = 0; domain < domain_count(); ++domain)
        control(d, domain);
    read_store(d);
    probe_observed_hosts(d);
    request_health(d);
}


void simulation::dispatch_to_all_groups(std::size_t d)
{
    for (const auto& [domain, record] : daemons_[d].records_) {
        for (const group_record& group : record.groups_)
            dispatch(d, view_of(daemons_[d], group));
    }
}


bool simulation::allows_dispatch(const daemon& d, const group_view& view) const
{
    const milliseconds lease = safeguards_.lease_check_
                                   ? timing_.dispatch_lease_
                                   : milliseconds(1 << 30);
    if (safeguards_.fencing_)
        return may_dispatch(view, d.evidence_, now_, lease).index() == 0;
    return view.phase_ == group_phase::serving &&
           std::all_of(
               view.members_.begin(),
               view.members_.end(),
               [&](const member_view& m) {
                   const auto found = d.last_alive_.find(m.host_);
                   return found != d.last_alive_.end() &&
                          now_ - found->second < lease;
               });
}


void simulation::dispatch(std::size_t d, const group_view& view)
{
    if (!allows_dispatch(daemons_[d], view))
        return;
    const base::time_point checked = now_;
    const auto transit_time =
        static_cast<std::uint64_t>(timing_.margin_.count());
    schedule(random_delay(transit_time), [this, view, checked] {
        receive_dispatch(view, checked);
    });
}


void simulation::read_store(std::size_t d)
{
    const base::time_point sent_at = now_;
    const milliseconds outbound =
        chance(5) ? random_delay(1500) : random_delay(20);
    const milliseconds inbound =
        chance(5) ? random_delay(1500) : random_delay(20);
    const std::uint64_t incarnation = daemons_[d].incarnation_;
    schedule(outbound, [this, d, sent_at, inbound, incarnation] {
        if (now_before(store_down_until_) ||
            now_before(daemons_[d].store_partitioned_until_) ||
            daemons_[d].incarnation_ != incarnation)
            return;
        // The platform's host list lags behind the real state.
        if (chance(20)) {
            listed_.clear();
            for (const engine& e : engines_) {
                if (!e.listed_)
                    continue;
                host_view h;
                h.id_ = e.id_;
                h.domain_ = base::fabric_domain_id{std::to_string(e.domain_)};
                h.leaving_ = e.leaving_;
                h.checks_generation_ = e.checks_generation_;
                listed_.push_back(std::move(h));
            }
        }
        std::map<std::size_t, platform::object> read;
        for (std::size_t domain = 0; domain < domain_count(); ++domain) {
            if (const auto object = store_.get(key(domain)))
                read[domain] = *object;
        }
        on_daemon(
            d, inbound, [this, sent_at, read, hosts = listed_](daemon& local) {
                local.hosts_ = hosts;
                for (const auto& [domain, object] : read) {
                    if (object.version_ < local.versions_[domain])
                        continue;
                    if (object.version_ > local.versions_[domain]) {
                        const auto record = decode_domain_record(object.value_);
                        if (!base::ok(record))
                            return record_violation(
                                base::error(record).message_);
                        local.records_[domain] = base::value(record);
                        local.versions_[domain] = object.version_;
                    }
                    const control_identity self{
                        local.id_, local.incarnation_, 0};
                    observe_record(
                        local.controls_[domain],
                        self,
                        local.records_[domain],
                        sent_at,
                        now_,
                        timing_);
                    if (!safeguards_.term_wait_) {
                        local.controls_[domain].leadership_.act_from_ = now_;
                        local.controls_[domain].leadership_.lease_until_ =
                            base::time_point::max();
                    }
                }
            });
    });
}


void simulation::probe(std::size_t d, std::size_t host)
{
    const base::time_point sent_at = now_;
    const milliseconds outbound =
        chance(5) ? random_delay(800) : random_delay(20);
    const milliseconds inbound =
        chance(5) ? random_delay(800) : random_delay(20);
    schedule(outbound, [this, d, host, sent_at, inbound] {
        const engine& e = engines_[host];
        const base::host_id id = e.id_;
        const bool silent =
            !e.alive_ || now_before(e.paused_until_) ||
            now_before(daemons_[d].hosts_partitioned_until_[host]);
        if (silent)
            return on_daemon(
                d, milliseconds(300), [this, id, sent_at](daemon& local) {
                    local.contacts_.record_probe_failure(id, sent_at);
                    local.evidence_.invalidate_host(id, now_);
                    local.last_alive_.erase(id);
                });
        host_report report;
        report.group_ = e.group_;
        report.generation_ = e.generation_;
        report.phase_ = e.phase_;
        report.sent_at_ = sent_at;
        on_daemon(d, inbound, [this, id, report](daemon& local) {
            host_report received = report;
            received.received_at_ = now_;
            local.contacts_.record_report(id, received);
            local.evidence_.record_report(id, received);
            if (received.phase_ == engine_phase::ready)
                local.last_alive_[id] = received.sent_at_;
        });
    });
}


void simulation::probe_observed_hosts(std::size_t d)
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


health_reply
simulation::make_reply(const daemon& peer, std::uint64_t stamp) const
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


void simulation::request_health(std::size_t d)
{
    const std::size_t p =
        (d + 1 + random_below(daemons_.size() - 1)) % daemons_.size();
    const daemon& local = daemons_[d];
    const health_request request =
        daemons_[d].exchange_.start_request(daemons_[p].id_, {}, now_);
    const base::daemon_id peer = daemons_[p].id_;
    if (now_before(local.peers_partitioned_until_) || chance(10))
        return;
    on_daemon(p, random_delay(40), [this, d, request, peer](daemon& other) {
        if (now_before(other.peers_partitioned_until_))
            return;
        const health_reply reply = make_reply(other, request.stamp_);
        const int copies = chance(10) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const milliseconds inbound =
                chance(10) ? random_delay(2000) : random_delay(40);
            on_daemon(d, inbound, [this, reply, peer](daemon& requester) {
                const auto sent_at = requester.exchange_.accept(peer, reply);
                if (!sent_at)
                    return;
                for (const auto& [domain, record] : requester.records_) {
                    for (const group_record& group : record.groups_) {
                        for (const group_health& entry : reply.entries_)
                            apply_group_health(
                                requester.evidence_,
                                view_of(requester, group),
                                entry,
                                *sent_at);
                    }
                    for (const lease_claim& claim : reply.leases_) {
                        if (claim.domain_ ==
                            base::stable_hash(record.domain_.value_))
                            observe_claim(
                                requester.controls_[domain], claim, *sent_at);
                    }
                }
            });
        }
    });
}


group_timing simulation::leader_timing() const
{
    group_timing t = timing_;
    if (!safeguards_.release_wait_) {
        t.dispatch_lease_ = milliseconds(0);
        t.order_timeout_ = milliseconds(0);
        t.margin_ = milliseconds(0);
    }
    return t;
}


void simulation::control(std::size_t d, std::size_t domain)
{
    daemon& local = daemons_[d];
    domain_record record;
    record.domain_ = base::fabric_domain_id{std::to_string(domain)};
    if (local.records_.contains(domain))
        record = local.records_[domain];
    const auto hosts = hosts_of(local, domain);
    const std::vector<deployment_demand> demand{
        {base::deployment_id{"x"}, hosts_per_group, 1, wanted_groups_, 2}};
    const control_identity self{
        local.id_,
        local.incarnation_,
        candidate_rank(record.domain_, daemon_ids(), local.id_)};
    const leader_input input{
        record, hosts, demand, 0, local.evidence_, local.contacts_, now_};
    const leader_step step =
        control_step(local.controls_[domain], self, input, leader_timing());
    for (const base::host_id& host : step.probes_)
        probe(d, host_index(host));
    for (const host_order& order : step.orders_)
        send_order(d, {order, local.controls_[domain].leadership_.won_.term_});
    if (step.write_)
        write(d, domain, *step.write_);
}


void simulation::write(
    std::size_t d, std::size_t domain, const domain_record& next)
{
    const daemon& local = daemons_[d];
    const auto known = local.versions_.find(domain);
    const platform::write_condition condition =
        known == local.versions_.end() || known->second.value_ == 0
            ? platform::write_condition(platform::if_absent{})
            : platform::write_condition(platform::if_version{known->second});
    const milliseconds outbound =
        chance(5) ? random_delay(3000) : random_delay(20);
    schedule(outbound, [this, d, domain, next, condition] {
        if (now_before(store_down_until_) ||
            now_before(daemons_[d].store_partitioned_until_))
            return;
        const auto outcome = store_.put(key(domain), encode(next), condition);
        if (!std::holds_alternative<platform::written>(outcome))
            return;
        check_write(domain, next);
        committed_[domain] = next;
        // The writer learns the outcome only from its next read, whether or not
        // the response arrives.
        if (responses_to_lose_ > 0)
            --responses_to_lose_;
    });
}


void simulation::check_write(std::size_t domain, const domain_record& next)
{
    domain_record before = committed_[domain];
    if (before.domain_.value_.empty())
        before.domain_ = next.domain_;
    if (const auto refusal = check_change(before, next))
        record_violation("invalid write: " + refusal->message_);
    std::vector<domain_record> all{next};
    for (const auto& [other, record] : committed_) {
        if (other != domain)
            all.push_back(record);
    }
    if (const auto refusal = check_domains(all))
        record_violation("invalid write: " + refusal->message_);
    coverage_.terms_ += next.leader_.term_ - before.leader_.term_;
    coverage_.formed_ +=
        next.next_generation_.value_ - before.next_generation_.value_;
    for (const group_record& group : next.groups_) {
        const bool was_retired = std::any_of(
            before.groups_.begin(), before.groups_.end(), [&](const auto& g) {
                return g.id_ == group.id_ && g.phase_ == group.phase_;
            });
        if (group.phase_ == group_phase::retired && !was_retired)
            ++coverage_.released_;
    }
}


void simulation::send_order(std::size_t d, const sent_order& order)
{
    const std::size_t host = host_index(order.order_.host_);
    if (now_before(daemons_[d].hosts_partitioned_until_[host]))
        return;
    const auto longest =
        static_cast<std::uint64_t>(timing_.order_timeout_.count());
    const int copies = chance(5) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const milliseconds transit_time =
            chance(10) ? random_delay(longest) : random_delay(20);
        schedule(transit_time, [this, host, order] {
            engine& e = engines_[host];
            if (!e.alive_)
                return;
            if (now_before(e.paused_until_))
                e.queued_orders_.push_back(order);
            else
                execute_order(e, order);
        });
    }
}

} // namespace monsoondock::groups::test
