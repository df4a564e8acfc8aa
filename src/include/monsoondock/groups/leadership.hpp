#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/groups/domain_record.hpp>
#include <monsoondock/groups/group_timing.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::groups {

/// The lease of one daemon on the leadership of one domain.
struct leadership
{
    /// Term that this process leads; its number is 0 when it does not lead.
    leader_term won_;
    /// Earliest time for orders, at which the previous leader's lease has
    /// surely expired.
    base::time_point act_from_;
    /// End of the lease; no orders may be sent from this time on.
    base::time_point lease_until_;
};


/// Returns the position of self among the candidates for the leadership of a
/// domain, by rendezvous hashing: 0 for the preferred daemon. The rank only
/// spreads the attempts over time; the store decides who wins.
std::size_t candidate_rank(
    const base::fabric_domain_id& domain,
    const std::vector<base::daemon_id>& daemons,
    const base::daemon_id& self);


/// Returns true when a daemon of this rank should challenge the leader, which
/// last showed a valid lease at leader_last_seen.
bool should_challenge(
    std::size_t rank,
    base::time_point leader_last_seen,
    base::time_point now,
    const group_timing& timing);


/// Returns record with the next term, led by self.
domain_record with_next_term(const domain_record& record, leader_term self);


/// Begins the term won after a store read has shown it. The read was sent at
/// sent_at and answered at now. The leader may act only when the lease of the
/// previous leader has expired and its last order has been carried out; the
/// first term of a domain has no previous leader and starts at once.
leadership begin_term(
    const leader_term& won,
    base::time_point sent_at,
    base::time_point now,
    const group_timing& timing);


/// Applies the term observed by a read of the record that was sent at sent_at.
/// It extends the lease when the term is still this daemon's own, and ends the
/// leadership when the record has another leader. A read that shows a lower
/// term is ignored.
void update_leadership(
    leadership& lead,
    const leader_term& observed,
    base::time_point sent_at,
    const group_timing& timing);


/// Returns true when the leader may change groups and send orders at now.
bool may_act(const leadership& lead, base::time_point now) noexcept;

} // namespace monsoondock::groups
