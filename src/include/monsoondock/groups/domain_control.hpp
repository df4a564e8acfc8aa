#pragma once

#include <monsoondock/groups/domain_leader.hpp>
#include <monsoondock/groups/lease_claim.hpp>

#include <optional>

namespace monsoondock::groups {

/// One daemon's part in the control of one fabric domain of its data centre:
/// watching the leader, taking over from it, leading.
struct domain_control
{
    leadership leadership_;
    leader_memory memory_;
    /// Term that the last read showed.
    leader_term observed_term_;
    /// When the leader last showed a valid lease, or when this daemon began to
    /// watch it.
    base::time_point leader_seen_;
    /// When this daemon first read the present challenge.
    std::optional<base::time_point> challenged_since_;
    /// When the leader first had no contact to any host.
    std::optional<base::time_point> blind_since_;
};


/// Who takes part in the control of a domain.
struct control_identity
{
    base::daemon_id daemon_;
    std::uint64_t incarnation_ = 0;
    /// Position among the candidates, see candidate_rank.
    std::size_t rank_ = 0;
};


/// Starts to watch a domain at now.
domain_control make_control(base::time_point now);


/// Takes a read of the domain's record that left at asked and was answered at
/// now. A won term counts only from such a read, also when the answer to the
/// write that won it was lost.
void observe_record(
    domain_control& control,
    const control_identity& self,
    const domain_record& record,
    base::time_point asked,
    base::time_point now,
    const group_timing& timing);


/// Takes the claim of a peer that it leads, asked for at asked.
void observe_claim(
    domain_control& control, const lease_claim& claim, base::time_point asked);


/// Returns the claim to give to peers, or nothing when this daemon does not
/// lead, or leads without contact to any host.
std::optional<lease_claim> make_claim(
    const domain_control& control,
    const base::fabric_domain_id& domain,
    base::time_point now,
    const group_timing& timing);


/// Decides the next step in the control of a domain: lead, answer a challenge,
/// challenge a silent leader, or win the next term. The write, if any, is
/// conditional on the version of input.record_.
leader_step control_step(
    domain_control& control,
    const control_identity& self,
    const leader_input& input,
    const group_timing& timing);

} // namespace monsoondock::groups
