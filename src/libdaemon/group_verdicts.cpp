#include "group_verdicts.hpp"

#include "group_peers.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/health_codec.hpp>
#include <monsoondock/groups/observers.hpp>
#include <monsoondock/groups/pacing.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace {

/// Bytes of a request and its reply, on the network.
constexpr std::size_t NEAR_EXCHANGE_BYTES = 250;
constexpr std::size_t FAR_EXCHANGE_BYTES = 530;

/// Keys of the groups to ask about, by peer.
using question_list = std::map<base::daemon_id, std::vector<std::uint64_t>>;


void send(
    group_state& state,
    const base::daemon_id& to,
    const groups::health_message& message)
{
    // A datagram that is not sent counts as one that is lost.
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


bool is_near(const group_state& state, const groups::group_record& group)
{
    return data_centre_of(state.control_, group) ==
           state.control_.config_.data_centre_;
}


// The observers take turns, so that one that is lost costs one round.
void add_observers(const group_state& state, question_list& questions)
{
    const control_state& control = state.control_;
    const auto daemons = daemons_of(control, control.config_.data_centre_);
    for_each_group(state, [&](const groups::group_record& group) {
        if (!is_near(state, group) || observes(control, group))
            return;
        const auto observers = groups::observers_of(group.id_, daemons);
        const auto& asked = observers[state.verdict_round_ % observers.size()];
        questions[asked].push_back(
            groups::group_generation_key(group.id_, group.generation_));
    });
}


// Leaders are asked for their claims.
void add_leaders(const group_state& state, question_list& questions)
{
    for (const auto& [domain, led] : state.led_) {
        const auto known = state.domains_.find(domain);
        if (known == state.domains_.end())
            continue;
        const base::daemon_id& leader = known->second.record_.leader_.daemon_;
        if (leader.value_.empty() || leader == state.control_.config_.daemon_)
            continue;
        auto& keys = questions[leader];
        for (const groups::group_record& group : known->second.record_.groups_)
            keys.push_back(
                groups::group_generation_key(group.id_, group.generation_));
    }
}


std::size_t ask_near(
    group_state& state, const question_list& questions, base::time_point now)
{
    for (const auto& [peer, keys] : questions)
        send(state, peer, state.exchange_.start_request(peer, keys, now));
    return questions.size() * NEAR_EXCHANGE_BYTES;
}


std::size_t ask_far(group_state& state, base::time_point now)
{
    const control_state& control = state.control_;
    const auto neighbours = neighbours_of(control);
    for (const base::data_centre_id& neighbour : neighbours) {
        std::size_t& attempt = state.relay_attempts_[neighbour];
        const auto daemons = daemons_of(control, neighbour);
        const base::daemon_id& self = control.config_.daemon_;
        auto relay = groups::relay_of(self, neighbour, daemons, attempt);
        if (state.exchange_.unanswered(relay) > 1)
            relay = groups::relay_of(self, neighbour, daemons, ++attempt);
        send(state, relay, state.exchange_.start_request(relay, {}, now));
    }
    return neighbours.size() * FAR_EXCHANGE_BYTES;
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
        const bool asked =
            wanted.empty()
                ? is_near(state, group)
                : std::find(wanted.begin(), wanted.end(), key) != wanted.end();
        if (asked)
            reply.entries_.push_back(groups::make_group_health(
                view_of(state, group),
                state.evidence_,
                now,
                state.timing_.dispatch_lease_));
    });
    for (const auto& [domain, led] : state.led_) {
        const auto claim =
            groups::make_claim(led.control_, domain, now, state.timing_);
        if (claim)
            reply.leases_.push_back(*claim);
    }
    return reply;
}


void take_claims(
    group_state& state,
    const groups::health_reply& reply,
    base::time_point asked)
{
    for (auto& [domain, led] : state.led_) {
        const std::uint64_t key = base::stable_hash(domain.value_);
        for (const groups::lease_claim& claim : reply.leases_) {
            if (claim.domain_ == key)
                groups::observe_claim(led.control_, claim, asked);
        }
    }
}


void take_reply(
    group_state& state,
    const base::daemon_id& sender,
    const groups::health_reply& reply)
{
    const auto asked = state.exchange_.accept(sender, reply);
    if (!asked)
        return;
    std::map<std::uint64_t, const groups::group_health*> entries;
    for (const groups::group_health& entry : reply.entries_)
        entries[entry.key_] = &entry;
    for_each_group(state, [&](const groups::group_record& group) {
        const auto found = entries.find(
            groups::group_generation_key(group.id_, group.generation_));
        if (found != entries.end())
            groups::apply_group_health(
                state.evidence_, view_of(state, group), *found->second, *asked);
    });
    take_claims(state, reply, *asked);
}

} // namespace

void ask_for_verdicts(group_state& state)
{
    const base::time_point now = base::boot_clock::now();
    if (state.control_.peers_ == nullptr || now < state.next_verdicts_)
        return;
    ++state.verdict_round_;
    question_list questions;
    add_observers(state, questions);
    add_leaders(state, questions);
    const std::size_t bytes =
        ask_near(state, questions, now) + ask_far(state, now);
    // A daemon is asked about as often as it asks.
    state.next_verdicts_ = now + groups::paced_interval(
                                     2,
                                     bytes,
                                     groups::HEALTH_BYTES_PER_SECOND,
                                     state.timing_.health_interval_,
                                     state.timing_.longest_health_interval_);
}


void take_verdict_body(
    group_state& state, const base::daemon_id& sender, const std::string& body)
{
    const auto message = wire::decode_body<groups::health_message>(body);
    if (!message)
        return;
    if (const auto* request = std::get_if<groups::health_request>(&*message))
        send(state, sender, make_reply(state, *request));
    else
        take_reply(state, sender, std::get<groups::health_reply>(*message));
}

} // namespace monsoondock::daemon
