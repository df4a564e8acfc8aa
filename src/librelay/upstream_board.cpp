#include <monsoondock/relay/upstream_board.hpp>

namespace monsoondock::relay {

void upstream_board::set_peer_loads(
    const base::daemon_id& peer,
    const std::unordered_map<base::host_id, unsigned>& loads)
{
    for (auto& [host, state] : states_)
        state.peers_.erase(peer);
    for (const auto& [host, count] : loads) {
        if (count > 0)
            states_[host].peers_[peer] = count;
    }
}


std::unordered_map<base::host_id, unsigned> upstream_board::own_loads() const
{
    std::unordered_map<base::host_id, unsigned> loads;
    for (const auto& [host, state] : states_) {
        if (state.in_flight_ > 0)
            loads[host] = state.in_flight_;
    }
    return loads;
}


void upstream_board::keep_only(
    const std::unordered_map<base::host_id, bool>& listed)
{
    std::erase_if(states_, [&](const auto& entry) {
        return entry.second.in_flight_ == 0 && !listed.contains(entry.first);
    });
}


unsigned total_load(const upstream_state& s) noexcept
{
    unsigned total = s.in_flight_;
    for (const auto& [peer, count] : s.peers_)
        total += count;
    return total;
}

} // namespace monsoondock::relay
