#include "group_health_exchange.hpp"

#include "group_peers.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/health_codec.hpp>
#include <monsoondock/groups/observers.hpp>
#include <monsoondock/groups/pacing.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace {

/// Estimated bytes on the network for a request and its reply.
constexpr std::size_t LOCAL_EXCHANGE_BYTES = 250;
constexpr std::size_t REMOTE_EXCHANGE_BYTES = 530;

/// Keys of the groups to request from each peer.
using group_keys_by_peer =
    std::map<base::daemon_id, std::vector<std::uint64_t>>;


void send(
    group_state& state,
    const base::daemon_id& to,
    const groups::health_message& message)
{
    // A failed send is handled like a lost datagram.
    state.control_.peers_->send_group_health(to, wire::encode_body(message));
}


template <class Visitor>
void for_each_group(const group_state& state, Visitor visit)
{
    for (const auto& [domain, known] : state.domains_) {
        for (const groups::group_record& group : known.record_.groups_)
            visit(group);
    }
}


bool in_own_data_centre(
    const group_state& state, const groups::group_record& group)
{
    return data_centre_of(state.control_, group) ==
           state.control_.config_.data_centre_;
}


// Rounds alternate between the observers of a group, so that an unreachable
// observer costs one round only.
void add_observer_requests(
    const group_state& state, group_keys_by_peer& requests)
{
    const control_state& control = state.control_;
    const auto daemons = daemons_of(control, control.config_.data_centre_);
    for_each_group(state, [&](const groups::group_record& group) {
        if (!in_own_data_centre(state, group) || observes(control, group))
            return;
        const auto observers = groups::observers_of(group.id_, daemons);
        const auto& observer =
            observers[state.health_round_ % observers.size()];
        requests[observer].push_back(
            groups::group_generation_key(group.id_, group.generation_));
    });
}


// Leaders are asked because their replies carry their lease claims.
void add_leader_requests(const group_state& state, group_keys_by_peer& requests)
{
    for (const auto& [domain, own] : state.own_domains_) {
        const auto known = state.domains_.find(domain);
        if (known == state.domains_.end())
            continue;
        const base::daemon_id& leader = known->second.record_.leader_.daemon_;
        if (leader.value_.empty() || leader == state.control_.config_.daemon_)
            continue;
        auto& keys = requests[leader];
        for (const groups::group_record& group : known->second.record_.groups_)
            keys.push_back(
                groups::group_generation_key(group.id_, group.generation_));
    }
}


std::size_t request_from_own_data_centre(
    group_state& state,
    const group_keys_by_peer& requests,
    base::time_point now)
{
    for (const auto& [peer, keys] : requests)
        send(state, peer, state.exchange_.start_request(peer, keys, now));
    return requests.size() * LOCAL_EXCHANGE_BYTES;
}


std::size_t
request_from_other_data_centres(group_state& state, base::time_point now)
{
    const control_state& control = state.control_;
    const auto data_centres = other_data_centres_of_region(control);
    for (const base::data_centre_id& data_centre : data_centres) {
        std::size_t& attempt = state.relay_attempts_[data_centre];
        const auto daemons = daemons_of(control, data_centre);
        const base::daemon_id& self = control.config_.daemon_;
        auto relay = groups::relay_of(self, data_centre, daemons, attempt);
        if (state.exchange_.unanswered(relay) > 1)
            relay = groups::relay_of(self, data_centre, daemons, ++attempt);
        send(state, relay, state.exchange_.start_request(relay, {}, now));
    }
    return data_centres.size() * REMOTE_EXCHANGE_BYTES;
}


// Returns the limit that the head of the group has named, if any.
std::optional<groups::group_limit> limit_of(
    const group_state& state,
    const groups::group_record& group,
    base::time_point now)
{
    const auto load = state.loads_.find(group.id_);
    if (load == state.loads_.end())
        return std::nullopt;
    const auto statement = load->second->limit_.statement(now);
    if (!statement)
        return std::nullopt;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - statement->stated_at_);
    return groups::group_limit{
        groups::group_generation_key(group.id_, group.generation_),
        statement->per_second_,
        static_cast<std::uint16_t>(age.count())};
}


groups::health_reply
make_reply(const group_state& state, const groups::health_request& request)
{
    const base::time_point now = base::boot_clock::now();
    groups::health_reply reply{request.stamp_, {}, {}};
    const auto& wanted = request.groups_;
    for_each_group(state, [&](const groups::group_record& group) {
        const auto key =
            groups::group_generation_key(group.id_, group.generation_);
        const bool requested =
            wanted.empty()
                ? in_own_data_centre(state, group)
                : std::find(wanted.begin(), wanted.end(), key) != wanted.end();
        if (!requested)
            return;
        reply.entries_.push_back(groups::make_group_health(
            view_of(state, group),
            state.evidence_,
            now,
            state.timing_.dispatch_lease_));
        if (const auto limit = limit_of(state, group, now))
            reply.limits_.push_back(*limit);
    });
    // A reply has room for a few limits; replies take turns with them.
    if (!reply.limits_.empty())
        std::rotate(
            reply.limits_.begin(),
            reply.limits_.begin() +
                static_cast<long>(
                    state.health_round_ * groups::MAX_GROUP_LIMITS %
                    reply.limits_.size()),
            reply.limits_.end());
    for (const auto& [domain, own] : state.own_domains_) {
        const auto claim =
            groups::make_claim(own.control_, domain, now, state.timing_);
        if (claim)
            reply.leases_.push_back(*claim);
    }
    return reply;
}


void observe_lease_claims(
    group_state& state,
    const groups::health_reply& reply,
    base::time_point sent_at)
{
    for (auto& [domain, own] : state.own_domains_) {
        const std::uint64_t key = base::stable_hash(domain.value_);
        for (const groups::lease_claim& claim : reply.leases_) {
            if (claim.domain_ == key)
                groups::observe_claim(own.control_, claim, sent_at);
        }
    }
}


void apply_limits(group_state& state, const groups::health_reply& reply)
{
    if (reply.limits_.empty())
        return;
    const base::time_point now = base::boot_clock::now();
    for_each_group(state, [&](const groups::group_record& group) {
        const auto key =
            groups::group_generation_key(group.id_, group.generation_);
        const auto load = state.loads_.find(group.id_);
        for (const groups::group_limit& limit : reply.limits_) {
            if (limit.key_ != key || load == state.loads_.end())
                continue;
            load->second->limit_.state(
                {limit.per_second_,
                 now - std::chrono::milliseconds(limit.age_ms_)});
            load->second->limit_.update_share(
                {group.id_.value_},
                state.control_.config_.daemon_,
                state.control_.live_daemons_,
                now);
        }
    });
}


void handle_health_reply(
    group_state& state,
    const base::daemon_id& sender,
    const groups::health_reply& reply)
{
    const auto sent_at = state.exchange_.accept(sender, reply);
    if (!sent_at)
        return;
    std::map<std::uint64_t, const groups::group_health*> entries;
    for (const groups::group_health& entry : reply.entries_)
        entries[entry.key_] = &entry;
    for_each_group(state, [&](const groups::group_record& group) {
        const auto found = entries.find(
            groups::group_generation_key(group.id_, group.generation_));
        if (found != entries.end())
            groups::apply_group_health(
                state.evidence_,
                view_of(state, group),
                *found->second,
                *sent_at);
    });
    observe_lease_claims(state, reply, *sent_at);
    apply_limits(state, reply);
}

} // namespace

void request_group_health(group_state& state)
{
    const base::time_point now = base::boot_clock::now();
    if (state.control_.peers_ == nullptr || now < state.next_health_round_at_)
        return;
    ++state.health_round_;
    group_keys_by_peer requests;
    add_observer_requests(state, requests);
    add_leader_requests(state, requests);
    const std::size_t bytes =
        request_from_own_data_centre(state, requests, now) +
        request_from_other_data_centres(state, now);
    // The factor 2: a daemon gets about as many requests as it sends.
    state.next_health_round_at_ =
        now + groups::paced_interval(
                  2,
                  bytes,
                  groups::HEALTH_BYTES_PER_SECOND,
                  state.timing_.health_interval_,
                  state.timing_.longest_health_interval_);
}


void handle_group_health_body(
    group_state& state, const base::daemon_id& sender, const std::string& body)
{
    const auto message = wire::decode_body<groups::health_message>(body);
    if (!message)
        return;
    if (const auto* request = std::get_if<groups::health_request>(&*message))
        send(state, sender, make_reply(state, *request));
    else
        handle_health_reply(
            state, sender, std::get<groups::health_reply>(*message));
}

} // namespace monsoondock::daemon
