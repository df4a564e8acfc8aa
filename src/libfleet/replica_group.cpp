#include <monsoondock/fleet/replica_group.hpp>

#include <algorithm>

namespace monsoondock::fleet {

namespace {

bool is_ready(group_phase phase)
{
    return phase == group_phase::ready || phase == group_phase::open;
}


using ranked_hosts = std::map<unsigned, const host_info*>;


replica_group
make_group(const group_key& key, const ranked_hosts& ranked, unsigned size)
{
    const host_info& first = *ranked.begin()->second;
    replica_group g{
        key,
        first.deployment_,
        first.model_,
        first.domain_,
        {},
        {},
        {},
        {},
        {}};
    g.all_ready_ = true;
    for (const auto& [rank, host] : ranked) {
        g.members_.push_back(host->id_);
        g.all_ready_ = g.all_ready_ && is_ready(host->role_->phase_);
        g.draining_ = g.draining_ || host->draining_;
        if (rank == 0)
            g.head_phase_ = host->role_->phase_;
    }
    // Ranks are distinct, so the highest one shows whether any is missing.
    g.complete_ =
        size > 0 && ranked.size() == size && ranked.rbegin()->first == size - 1;
    return g;
}

} // namespace

group_map derive_groups(
    const host_table& hosts,
    const base::deployment_id& deployment,
    const std::map<std::string, unsigned>& sizes)
{
    std::map<group_key, ranked_hosts> by_key;
    for (const auto& [id, host] : hosts) {
        if (host.deployment_ == deployment && host.role_)
            by_key[host.role_->key_][host.role_->rank_] = &host;
    }
    group_map groups;
    for (const auto& [key, ranked] : by_key) {
        const auto size = sizes.find(ranked.begin()->second->model_);
        groups.emplace(
            key,
            make_group(key, ranked, size == sizes.end() ? 0 : size->second));
    }
    return groups;
}


bool may_serve(const replica_group& g) noexcept
{
    return g.complete_ && g.all_ready_ && !g.draining_ &&
           g.head_phase_ == group_phase::open;
}


const char* to_string(group_phase phase) noexcept
{
    switch (phase) {
    case group_phase::joining:
        return "joining";
    case group_phase::ready:
        return "ready";
    case group_phase::open:
        return "open";
    case group_phase::closing:
        return "closing";
    case group_phase::broken:
        return "broken";
    }
    return "unknown";
}

} // namespace monsoondock::fleet
