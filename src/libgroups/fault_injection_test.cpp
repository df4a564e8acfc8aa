#include "simulation_test.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>
#include <monsoondock/groups/may_dispatch.hpp>
#include <monsoondock/groups/observers.hpp>

#include <algorithm>

namespace monsoondock::groups::test {

// Injection of faults into hosts, daemons and the store.

void simulation::apply(const fault& f)
{
    if (f.kind_ <= fault_kind::pause_domain)
        return apply_to_host(f);
    if (f.kind_ <= fault_kind::partition_host)
        return apply_to_daemon(f);
    apply_to_store(f);
}


void simulation::apply_to_host(const fault& f)
{
    engine& e = engines_[f.target_ % engines_.size()];
    switch (f.kind_) {
    case fault_kind::crash_host:
        e.alive_ = false;
        break;
    case fault_kind::restart_host:
        e.alive_ = true;
        e.phase_ = engine_phase::idle;
        e.group_ = {};
        break;
    case fault_kind::pause_host:
        e.paused_until_ = now_ + f.length_;
        break;
    case fault_kind::toggle_leaving:
        e.leaving_ = !e.leaving_;
        break;
    case fault_kind::unlist_host:
        e.listed_ = false;
        break;
    case fault_kind::relist_all_hosts:
        for (engine& other : engines_) {
            other.listed_ = true;
            other.leaving_ = false;
        }
        break;
    default:
        for (engine& other : engines_) {
            if (other.domain_ == f.target_ % domain_count())
                other.paused_until_ = now_ + f.length_;
        }
    }
}


void simulation::apply_to_daemon(const fault& f)
{
    daemon& d = daemons_[f.target_ % daemons_.size()];
    const base::time_point until = now_ + f.length_;
    switch (f.kind_) {
    case fault_kind::pause_daemon:
        d.paused_until_ = until;
        break;
    case fault_kind::pause_leader:
        pause_leader(f.target_ % domain_count(), until);
        break;
    case fault_kind::restart_daemon:
        restart(d);
        break;
    case fault_kind::partition_store:
        d.store_partitioned_until_ = until;
        break;
    case fault_kind::partition_peers:
        d.peers_partitioned_until_ = until;
        break;
    case fault_kind::partition_store_and_peers:
        d.store_partitioned_until_ = until;
        d.peers_partitioned_until_ = until;
        break;
    default:
        // The remainder of the target by 3 selects the daemon, the quotient the
        // host.
        d.hosts_partitioned_until_[f.target_ / 3 % engines_.size()] = until;
    }
}


void simulation::pause_leader(std::size_t domain, base::time_point until)
{
    for (daemon& d : daemons_) {
        if (d.id_ == committed_[domain].leader_.daemon_)
            d.paused_until_ = until;
    }
}


void simulation::apply_to_store(const fault& f)
{
    switch (f.kind_) {
    case fault_kind::store_outage:
        store_down_until_ = now_ + f.length_;
        break;
    case fault_kind::lose_write_responses:
        responses_to_lose_ = 1 + f.target_ % 4;
        break;
    case fault_kind::retire_group:
        retire_group(f.target_ % domain_count());
        break;
    default:
        wanted_groups_ = f.target_ % 3;
    }
}


void simulation::retire_group(std::size_t domain)
{
    const auto object = store_.get(key(domain));
    if (!object || committed_[domain].groups_.empty())
        return;
    domain_record next = committed_[domain];
    group_record& group = next.groups_[random_below(next.groups_.size())];
    const auto phase = next_phase(group.phase_, group_event::retire_requested);
    if (!phase)
        return;
    group.phase_ = *phase;
    check_write(domain, next);
    store_.put(
        key(domain), encode(next), platform::if_version{object->version_});
    committed_[domain] = next;
}

} // namespace monsoondock::groups::test
