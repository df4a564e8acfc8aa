#include "peer_settings.hpp"

#include "settings_feed.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace {

/// Time that the store gets to deliver a revision before peers are asked.
constexpr std::chrono::milliseconds STORE_GRACE_PERIOD{500};
constexpr std::chrono::milliseconds REQUEST_PERIOD{500};
/// Number of peers that a daemon without settings asks in parallel.
constexpr std::size_t INITIAL_REQUEST_COUNT = 3;


bool lacks_newest_settings(const control_state& state)
{
    const std::uint64_t in_force =
        state.settings_tracker_.in_force_revision().value_;
    return state.settings_ == nullptr ||
           in_force < state.peers_->node().highest_revision();
}


bool can_supply_settings(
    const control_state& state, const membership::member_record& peer)
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
    std::vector<membership::member_record> candidates;
    for (const auto& [id, other] : state.peers_->node().members()) {
        if (can_supply_settings(state, other.record_))
            candidates.push_back(other.record_);
    }
    std::vector<membership::member_record> chosen;
    std::sample(
        candidates.begin(),
        candidates.end(),
        std::back_inserter(chosen),
        count,
        state.random_);
    return chosen;
}


void handle_settings_reply(
    control_state& state,
    const base::daemon_id& peer,
    const base::result<peer::settings_reply>& reply)
{
    if (base::ok(reply)) {
        apply_peer_settings(state, peer, base::value(reply).bundle_json_);
        return;
    }
    state.cold_start_.asked_.erase(peer);
    base::event_line("settings_request_failed", base::severity::warning)
        .field("peer", peer)
        .field("reason", base::to_string(base::error(reply)));
}


void request_from(
    control_state& state,
    peer_settings_state& requests,
    const membership::member_record& peer)
{
    ++requests.pending_requests_;
    state.cold_start_.asked_.insert(peer.id_);
    const std::uint64_t known_revision =
        state.settings_tracker_.in_force_revision().value_;
    state.peers_->request_settings(
        peer.peer_,
        {known_revision},
        [&state, &requests, id = peer.id_](const auto& reply) {
            --requests.pending_requests_;
            handle_settings_reply(state, id, reply);
        });
}

} // namespace

peer::settings_reply answer_settings(
    const control_state& state, const peer::settings_request& request)
{
    const auto& tracker = state.settings_tracker_;
    const std::uint64_t revision = tracker.in_force_revision().value_;
    const auto bundle = tracker.bundle();
    if (!bundle || revision <= request.known_revision_)
        return {revision, {}};
    return {revision, settings::to_json(*bundle)};
}


void request_missing_settings(
    control_state& state, peer_settings_state& requests, base::time_point now)
{
    if (!lacks_newest_settings(state)) {
        requests.missing_since_.reset();
        return;
    }
    if (!requests.missing_since_)
        requests.missing_since_ = now;
    const bool has_no_settings = state.settings_ == nullptr;
    if (!has_no_settings && now - *requests.missing_since_ < STORE_GRACE_PERIOD)
        return;
    if (requests.pending_requests_ > 0 || now < requests.next_request_at_)
        return;
    requests.next_request_at_ = now + REQUEST_PERIOD;
    for (const auto& peer :
         choose_peers(state, has_no_settings ? INITIAL_REQUEST_COUNT : 1))
        request_from(state, requests, peer);
}

} // namespace monsoondock::daemon
