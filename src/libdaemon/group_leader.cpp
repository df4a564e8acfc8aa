#include "group_leader.hpp"

#include "engine_messages.hpp"
#include "group_demand.hpp"
#include "group_peers.hpp"
#include "group_probes.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/groups/domain_checks.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

/// Shortest time between two probes of a host on behalf of the leader.
constexpr std::chrono::milliseconds LEADER_PROBE_INTERVAL{500};

/// Time between two reads of a domain record. A read renews a leader's lease.
constexpr std::chrono::milliseconds LEASE_READ_INTERVAL{1000};


groups::control_identity
self_of(const group_state& state, const base::fabric_domain_id& domain)
{
    const base::daemon_id& self = state.control_.config_.daemon_;
    const auto candidates =
        daemons_of(state.control_, state.control_.config_.data_centre_);
    return {
        self,
        state.incarnation_,
        groups::candidate_rank(domain, candidates, self)};
}


void log_term(const groups::domain_record& record, const own_domain& own)
{
    base::event_line("domain_leader")
        .field("domain", record.domain_)
        .field("term", record.leader_.term_)
        .field("leader", record.leader_.daemon_)
        .field(
            "leads", own.control_.leadership_.won_.term_ != 0 ? "yes" : "no");
}


void observe_own_domain(
    group_state& state,
    const groups::domain_record& record,
    base::time_point sent_at)
{
    const auto found = state.own_domains_.find(record.domain_);
    if (found == state.own_domains_.end())
        return;
    own_domain& own = found->second;
    const groups::leader_term before = own.control_.observed_term_;
    groups::observe_record(
        own.control_,
        self_of(state, record.domain_),
        record,
        sent_at,
        base::boot_clock::now(),
        state.timing_);
    if (!(before == record.leader_))
        log_term(record, own);
}


void apply_domain_record(
    group_state& state,
    const platform::object& object,
    base::time_point sent_at)
{
    auto record = groups::decode_domain_record(object.value_);
    if (!base::ok(record)) {
        base::event_line("domain_record_invalid", base::severity::error)
            .field("key", object.key_)
            .field("reason", base::error(record).message_);
        return;
    }
    known_domain& known = state.domains_[base::value(record).domain_];
    if (object.version_ < known.version_)
        return;
    known = {base::value(record), object.version_};
    observe_own_domain(state, known.record_, sent_at);
}


asio::awaitable<void>
read_domain(group_state& state, base::fabric_domain_id domain)
{
    own_domain& own = state.own_domains_[domain];
    own.read_pending_ = true;
    const base::time_point sent_at = base::boot_clock::now();
    own.last_read_at_ = sent_at;
    const auto object =
        co_await state.control_.store_.get(groups::domain_key(domain));
    own.read_pending_ = false;
    if (!base::ok(object) || !base::value(object))
        co_return;
    // The record read shows whether the write took effect, whatever the store
    // replied to it.
    own.write_pending_ = false;
    apply_domain_record(state, *base::value(object), sent_at);
}


asio::awaitable<void>
write_domain(group_state& state, groups::domain_record next)
{
    const base::fabric_domain_id domain = next.domain_;
    const auto known = state.domains_.find(domain);
    platform::write_condition condition = platform::if_absent{};
    if (known != state.domains_.end())
        condition = platform::if_version{known->second.version_};
    co_await state.control_.store_.put(
        groups::domain_key(domain), groups::encode(next), condition);
    co_await read_domain(state, domain);
}


void log_changes(
    const groups::domain_record& before, const groups::domain_record& after)
{
    for (const groups::group_record& group : after.groups_) {
        const bool same = std::any_of(
            before.groups_.begin(), before.groups_.end(), [&](const auto& g) {
                return g.id_ == group.id_ && g.phase_ == group.phase_;
            });
        if (same)
            continue;
        base::event_line("group_phase_wanted")
            .field("group", group.id_)
            .field("generation", group.generation_.value_)
            .field("phase", groups::to_string(group.phase_));
    }
}


void start_write(
    group_state& state,
    own_domain& own,
    const groups::domain_record& before,
    groups::domain_record next)
{
    if (const auto refusal = groups::check_change(before, next)) {
        base::event_line("domain_write_refused", base::severity::error)
            .field("domain", next.domain_)
            .field("reason", refusal->message_);
        return;
    }
    log_changes(before, next);
    own.write_pending_ = true;
    asio::co_spawn(
        state.control_.context_,
        write_domain(state, std::move(next)),
        asio::detached);
}


asio::awaitable<void> send_order(
    group_state& state,
    base::fabric_domain_id domain,
    groups::host_order order,
    asio::ip::tcp::endpoint address,
    std::string body)
{
    const auto may_send = [&state, domain] {
        return groups::may_act(
            state.own_domains_[domain].control_.leadership_,
            base::boot_clock::now());
    };
    // Half of the time for connecting and half for the exchange.
    const auto outcome = co_await state.engines_.post_order(
        address, std::move(body), state.timing_.order_timeout_ / 2, may_send);
    state.pending_orders_.erase(order.host_);
    const bool load = order.kind_ == groups::order_kind::load;
    base::event_line("engine_order")
        .field("order", load ? "load" : "unload")
        .field("host", order.host_)
        .field("group", order.group_)
        .field("generation", order.generation_.value_)
        .field(
            "outcome",
            base::ok(outcome) ? "taken"
                              : base::to_string(base::error(outcome)));
}


void start_order(
    group_state& state,
    const base::fabric_domain_id& domain,
    const groups::host_order& order)
{
    const auto address = address_of(state.control_, order.host_);
    if (!address || state.pending_orders_.contains(order.host_))
        return;
    std::vector<std::string> addresses;
    for (const base::host_id& member : order.members_) {
        const auto found = state.control_.hosts_.find(member);
        if (found == state.control_.hosts_.end())
            return;
        addresses.push_back(found->second.address_);
    }
    state.pending_orders_.insert(order.host_);
    asio::co_spawn(
        state.control_.context_,
        send_order(
            state, domain, order, *address, encode_order(order, addresses)),
        asio::detached);
}


void step_domain(
    group_state& state, const base::fabric_domain_id& domain, own_domain& own)
{
    const base::time_point now = base::boot_clock::now();
    const bool leads = own.control_.leadership_.won_.term_ != 0;
    const bool due = leads || own.write_pending_;
    if (due && !own.read_pending_ &&
        now - own.last_read_at_ >= LEASE_READ_INTERVAL)
        asio::co_spawn(
            state.control_.context_,
            read_domain(state, domain),
            asio::detached);
    if (own.write_pending_)
        return;
    groups::domain_record record;
    record.domain_ = domain;
    if (const auto known = state.domains_.find(domain);
        known != state.domains_.end())
        record = known->second.record_;
    const auto hosts = hosts_of(state.control_, domain);
    const domain_demand demand = domain_demand_of(state.control_, domain);
    const groups::leader_input input{
        record,
        hosts,
        demand.deployments_,
        demand.spare_hosts_,
        state.evidence_,
        state.contacts_,
        now};
    groups::leader_step step = groups::control_step(
        own.control_, self_of(state, domain), input, state.timing_);
    for (const base::host_id& host : step.probes_)
        probe_host(state, host, LEADER_PROBE_INTERVAL);
    for (const groups::host_order& order : step.orders_)
        start_order(state, domain, order);
    if (step.write_)
        start_write(state, own, record, std::move(*step.write_));
}


void add_own_domains(group_state& state)
{
    for (const auto& [id, host] : state.control_.hosts_) {
        const bool own =
            host.kind_ == host_kind::model &&
            host.data_centre_ == state.control_.config_.data_centre_;
        if (!own || state.own_domains_.contains(host.fabric_domain_))
            continue;
        const base::time_point now = base::boot_clock::now();
        state.own_domains_[host.fabric_domain_].control_ =
            groups::make_control(now);
    }
}

} // namespace

void apply_domain_object(group_state& state, const platform::object& object)
{
    apply_domain_record(state, object, base::time_point{});
}


void step_domains(group_state& state)
{
    // Data not read yet must not be mistaken for an empty store: without
    // settings, for example, the demand would be no groups at all.
    if (!state.control_.hosts_known_ || state.control_.settings_ == nullptr)
        return;
    add_own_domains(state);
    for (auto& [domain, own] : state.own_domains_)
        step_domain(state, domain, own);
}

} // namespace monsoondock::daemon
