#include "explored_world_test.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/group_lifecycle.hpp>
#include <monsoondock/groups/may_dispatch.hpp>
#include <monsoondock/groups/observers.hpp>

#include <algorithm>

namespace monsoondock::groups::test {

// Faults that strike hosts, daemons and the store.

void world::apply(const fault& f)
{
    if (f.kind_ <= fault_kind::dark_domain)
        return apply_to_host(f);
    if (f.kind_ <= fault_kind::cut_host)
        return apply_to_daemon(f);
    apply_to_store(f);
}


void world::apply_to_host(const fault& f)
{
    engine& e = engines_[f.target_ % engines_.size()];
    switch (f.kind_) {
    case fault_kind::kill_host:
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
    case fault_kind::leave_host:
        e.leaving_ = !e.leaving_;
        break;
    case fault_kind::unlist_host:
        e.listed_ = false;
        break;
    case fault_kind::relist_host:
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


void world::apply_to_daemon(const fault& f)
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
    case fault_kind::cut_store:
        d.store_cut_until_ = until;
        break;
    case fault_kind::cut_peers:
        d.peers_cut_until_ = until;
        break;
    case fault_kind::cut_both:
        d.store_cut_until_ = until;
        d.peers_cut_until_ = until;
        break;
    default:
        d.hosts_cut_until_[f.target_ / 3 % engines_.size()] = until;
    }
}


void world::pause_leader(std::size_t domain, base::time_point until)
{
    for (daemon& d : daemons_) {
        if (d.id_ == truth_[domain].leader_.daemon_)
            d.paused_until_ = until;
    }
}


void world::apply_to_store(const fault& f)
{
    switch (f.kind_) {
    case fault_kind::store_outage:
        store_down_until_ = now_ + f.length_;
        break;
    case fault_kind::lose_answers:
        answers_to_lose_ = 1 + f.target_ % 4;
        break;
    case fault_kind::operator_retires:
        operator_retires(f.target_ % domain_count());
        break;
    default:
        wanted_groups_ = f.target_ % 3;
    }
}


void world::operator_retires(std::size_t domain)
{
    const auto object = store_.get(key(domain));
    if (!object || truth_[domain].groups_.empty())
        return;
    domain_record next = truth_[domain];
    group_record& group = next.groups_[pick(next.groups_.size())];
    const auto phase = next_phase(group.phase_, group_event::retire_asked);
    if (!phase)
        return;
    group.phase_ = *phase;
    check_write(domain, next);
    store_.put(
        key(domain), encode(next), platform::if_version{object->version_});
    truth_[domain] = next;
}

} // namespace monsoondock::groups::test
