#pragma once

#include <monsoondock/groups/domain_leader.hpp>
#include <monsoondock/groups/lease_claim.hpp>

#include <optional>

namespace monsoondock::groups {

/// State of one daemon in the control of one fabric domain of its data centre.
/// The daemon either leads the domain, or monitors the leader and takes over
/// when the leader fails.
struct domain_control
{
    leadership leadership_;
    term_state term_state_;
    /// Highest term seen in the domain's record.
    leader_term observed_term_;
    /// When the leader last showed a valid lease, or when this daemon began to
    /// monitor it.
    base::time_point leader_last_seen_;
    /// When this daemon first read the pending challenge of the leader.
    std::optional<base::time_point> challenged_since_;
    /// When this daemon, as the leader, first found that no host answered.
    std::optional<base::time_point> no_contact_since_;
};


/// Identity of a daemon that takes part in the control of a domain.
struct control_identity
{
    base::daemon_id daemon_;
    std::uint64_t incarnation_ = 0;
    /// Position among the candidates for leader; see candidate_rank.
    std::size_t rank_ = 0;
};


/// Returns the state of a daemon that starts to monitor a domain at now.
domain_control make_control(base::time_point now);


/// Applies a read of the domain's record that was sent at sent_at and answered
/// at now. A daemon becomes leader only by such a read, never by the answer to
/// its write, because that answer can be lost.
void observe_record(
    domain_control& control,
    const control_identity& self,
    const domain_record& record,
    base::time_point sent_at,
    base::time_point now,
    const group_timing& timing);


/// Applies a peer's claim to lead the domain. The claim answers a request sent
/// at sent_at.
void observe_claim(
    domain_control& control,
    const lease_claim& claim,
    base::time_point sent_at);


/// Returns the claim to send to peers, or nothing when this daemon holds no
/// valid lease or when its no_contact_since_ is more than contact_lifetime_
/// ago.
std::optional<lease_claim> make_claim(
    const domain_control& control,
    const base::fabric_domain_id& domain,
    base::time_point now,
    const group_timing& timing);


/// Decides the next step in the control of a domain: act as the leader, clear a
/// challenge, challenge a silent leader, or claim the next term. The write, if
/// any, is conditional on the version of input.record_.
leader_step control_step(
    domain_control& control,
    const control_identity& self,
    const leader_input& input,
    const group_timing& timing);

} // namespace monsoondock::groups
