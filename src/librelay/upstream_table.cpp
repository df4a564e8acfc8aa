#include <monsoondock/relay/upstream_table.hpp>

#include <utility>

namespace monsoondock::relay {

namespace {

// Returns true when something that the host has said of itself is in force.
bool has_spoken(const upstream_state& s, base::time_point now)
{
    return s.leaving_ || s.paused_until_ > now ||
           hostlimits::is_limited(s.limit_, now);
}

} // namespace

void upstream_table::set_peer_loads(
    const base::daemon_id& peer,
    const std::unordered_map<base::host_id, unsigned>& loads)
{
    for (auto& [host, state] : states_)
        state.peer_loads_.erase(peer);
    for (const auto& [host, count] : loads) {
        if (count > 0)
            states_[host].peer_loads_[peer] = count;
    }
}


std::unordered_map<base::host_id, unsigned> upstream_table::local_loads() const
{
    std::unordered_map<base::host_id, unsigned> loads;
    for (const auto& [host, state] : states_) {
        if (state.in_flight_ > 0)
            loads[host] = state.in_flight_;
    }
    return loads;
}


void upstream_table::set_cut_links(const std::set<base::host_id>& hosts)
{
    for (auto& [host, state] : states_)
        state.link_cut_ = hosts.contains(host);
    for (const base::host_id& host : hosts)
        states_[host].link_cut_ = true;
}


bool upstream_table::detect_restart(
    const base::host_id& host, std::int64_t process_start_ms)
{
    const auto found = states_.find(host);
    if (found == states_.end() ||
        found->second.process_start_ms_ == process_start_ms)
        return false;
    found->second.leaving_ = false;
    found->second.paused_until_ = {};
    found->second.limit_ = {};
    return std::exchange(found->second.process_start_ms_, process_start_ms) !=
           0;
}


void upstream_table::keep_only(
    const std::unordered_map<base::host_id, bool>& listed, base::time_point now)
{
    for (auto& [host, s] : states_) {
        if (listed.contains(host))
            s.unlisted_since_ = {};
        else if (s.unlisted_since_ == base::time_point())
            s.unlisted_since_ = now;
        // A host that is listed again starts out healthy.
        if (s.unlisted_since_ == now)
            s.unhealthy_until_ = {};
    }
    std::erase_if(states_, [&](const auto& entry) {
        const upstream_state& s = entry.second;
        return s.in_flight_ == 0 && s.unlisted_since_ != base::time_point() &&
               (!has_spoken(s, now) ||
                now - s.unlisted_since_ > unlisted_memory);
    });
}


unsigned total_load(const upstream_state& s) noexcept
{
    unsigned total = s.in_flight_;
    for (const auto& [peer, count] : s.peer_loads_)
        total += count;
    return total;
}

} // namespace monsoondock::relay
