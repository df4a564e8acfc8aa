#include "control_metrics.hpp"

#include <algorithm>
#include <numeric>

namespace monsoondock::daemon {

namespace {

std::size_t count_alive(const membership::node& node)
{
    std::size_t alive = 1;
    for (const auto& [id, other] : node.members()) {
        if (other.record_.state_ != membership::member_state::dead)
            ++alive;
    }
    return alive;
}


void update_peer_totals(control_state& state)
{
    const peer::peer_counters& totals = state.peers_->counters();
    const auto& drops = totals.drops_.totals_;
    auto& metrics = state.metrics_;
    metrics.set_total(
        metrics::counter::peer_bytes_sent, {}, totals.bytes_sent_);
    metrics.set_total(
        metrics::counter::peer_bytes_received, {}, totals.bytes_received_);
    metrics.set_total(
        metrics::counter::peer_datagrams_dropped,
        {},
        std::accumulate(drops.begin(), drops.end(), std::uint64_t{0}));
}

} // namespace

void update_control_metrics(control_state& state)
{
    const base::time_point now = base::boot_clock::now();
    const auto serving = std::count_if(
        state.groups_.begin(), state.groups_.end(), [now](const auto& row) {
            return traffic::may_dispatch(row, now);
        });
    state.metrics_.set(
        metrics::gauge::groups_serving, static_cast<double>(serving));
    state.metrics_.set(
        metrics::gauge::members_alive,
        static_cast<double>(count_alive(state.peers_->node())));
    update_peer_totals(state);
}

} // namespace monsoondock::daemon
