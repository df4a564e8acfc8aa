#include "peer_settings.hpp"

#include "settings_feed.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace {

/// Time that the store has to bring a revision before peers are asked.
constexpr std::chrono::milliseconds STORE_ADVANTAGE{500};
constexpr std::chrono::milliseconds ASK_PERIOD{500};
/// Peers that a daemon without settings asks at once.
constexpr std::size_t COLD_REQUESTS = 3;


bool is_missing(const control_state& state)
{
    const std::uint64_t in_force =
        state.settings_tracker_.in_force_revision().value_;
    return state.settings_ == nullptr ||
           in_force < state.peers_->node().highest_revision();
}


bool may_help(const control_state& state, const membership::member_record& peer)
{
    if (peer.state_ == membership::member_state::dead)
        return false;
    const std::uint64_t in_force =
        state.settings_tracker_.in_force_revision().value_;
    return state.settings_ == nullptr ||
           peer.status_.settings_revision_ > in_force;
}


std::vector<membership::member_record>
choose_peers(control_state& state, std::size_t count)
{
    std::vector<membership::member_record> able;
    for (const auto& [id, other] : state.peers_->node().members()) {
        if (may_help(state, other.record_))
            able.push_back(other.record_);
    }
    std::vector<membership::member_record> chosen;
    std::sample(
        able.begin(),
        able.end(),
        std::back_inserter(chosen),
        count,
        state.random_);
    return chosen;
}


void take_answer(
    control_state& state,
    const base::daemon_id& peer,
    const base::result<peer::settings_reply>& reply)
{
    if (base::ok(reply)) {
        take_settings_of_peer(state, peer, base::value(reply).bundle_json_);
        return;
    }
    state.cold_start_.asked_.erase(peer);
    base::event_line("settings_request_failed", base::severity::warning)
        .field("peer", peer)
        .field("reason", base::to_string(base::error(reply)));
}


void ask(
    control_state& state,
    peer_settings_state& waiting,
    const membership::member_record& peer)
{
    ++waiting.open_;
    state.cold_start_.asked_.insert(peer.id_);
    const std::uint64_t known =
        state.settings_tracker_.in_force_revision().value_;
    state.peers_->request_settings(
        peer.peer_,
        {known},
        [&state, &waiting, id = peer.id_](const auto& reply) {
            --waiting.open_;
            take_answer(state, id, reply);
        });
}

} // namespace

peer::settings_reply
answer_settings(const control_state& state, const peer::settings_request& asked)
{
    const auto& tracker = state.settings_tracker_;
    const std::uint64_t revision = tracker.in_force_revision().value_;
    const auto bundle = tracker.bundle();
    if (!bundle || revision <= asked.known_revision_)
        return {revision, {}};
    return {revision, settings::to_json(*bundle)};
}


void ask_peers_when_due(
    control_state& state, peer_settings_state& waiting, base::time_point now)
{
    if (!is_missing(state)) {
        waiting.missing_since_.reset();
        return;
    }
    if (!waiting.missing_since_)
        waiting.missing_since_ = now;
    const bool cold = state.settings_ == nullptr;
    if (!cold && now - *waiting.missing_since_ < STORE_ADVANTAGE)
        return;
    if (waiting.open_ > 0 || now < waiting.next_ask_)
        return;
    waiting.next_ask_ = now + ASK_PERIOD;
    for (const auto& peer : choose_peers(state, cold ? COLD_REQUESTS : 1))
        ask(state, waiting, peer);
}

} // namespace monsoondock::daemon
