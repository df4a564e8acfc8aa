#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/groups/domain_record.hpp>
#include <monsoondock/groups/group_timing.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::groups {

/// What one daemon holds of the leadership of one domain.
struct leadership
{
    /// Term that this process won; the term 0 when none.
    leader_term won_;
    /// Orders may be sent from here, when the previous lease has lapsed.
    base::time_point act_from_;
    /// Orders may be sent before this time only.
    base::time_point lease_until_;
};


/// Returns the position of self among the candidates for a domain: 0 for the
/// preferred daemon. It only spreads the attempts; the store decides.
std::size_t candidate_rank(
    const base::fabric_domain_id& domain,
    const std::vector<base::daemon_id>& daemons,
    const base::daemon_id& self);


/// Returns true when a daemon of this rank should challenge the leader, given
/// the time at which the leader last showed a valid lease.
bool should_challenge(
    std::size_t rank,
    base::time_point leader_seen,
    base::time_point now,
    const group_timing& timing);


/// Returns record with the next term, led by self.
domain_record with_next_term(const domain_record& record, leader_term self);


/// Takes the confirmation that the store holds won: a read that left at asked
/// and was answered at now. Acting starts after the longest lease and the last
/// order of the previous leader; the first term of a domain has none.
leadership begin_term(
    const leader_term& won,
    base::time_point asked,
    base::time_point now,
    const group_timing& timing);


/// Takes a read of the record that left at asked. It prolongs the lease when
/// the record still has the own term, and ends the leadership otherwise.
void note_record(
    leadership& lead,
    const leader_term& seen,
    base::time_point asked,
    const group_timing& timing);


/// Returns true when the daemon may change groups and send orders at now.
bool may_act(const leadership& lead, base::time_point now) noexcept;

} // namespace monsoondock::groups
