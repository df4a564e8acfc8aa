#include <monsoondock/base/rendezvous.hpp>
#include <monsoondock/groups/leadership.hpp>

#include <algorithm>

namespace monsoondock::groups {

namespace {

std::vector<std::string> names_of(const std::vector<base::daemon_id>& daemons)
{
    std::vector<std::string> names;
    names.reserve(daemons.size());
    for (const base::daemon_id& daemon : daemons)
        names.push_back(daemon.value_);
    return names;
}

} // namespace

std::size_t candidate_rank(
    const base::fabric_domain_id& domain,
    const std::vector<base::daemon_id>& daemons,
    const base::daemon_id& self)
{
    const auto order = base::rendezvous_order(
        domain.value_, names_of(daemons), daemons.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        if (daemons[order[rank]] == self)
            return rank;
    }
    return order.size();
}


bool should_challenge(
    std::size_t rank,
    base::time_point leader_last_seen,
    base::time_point now,
    const group_timing& timing)
{
    const auto wait = timing.challenge_rank_delay_ * static_cast<int>(rank);
    return now - leader_last_seen >= timing.challenge_after_ + wait;
}


domain_record with_next_term(const domain_record& record, leader_term self)
{
    domain_record next = record;
    self.term_ = record.leader_.term_ + 1;
    next.leader_ = std::move(self);
    next.challenged_ = false;
    return next;
}


leadership begin_term(
    const leader_term& won,
    base::time_point sent_at,
    base::time_point now,
    const group_timing& timing)
{
    leadership lead;
    lead.won_ = won;
    lead.lease_until_ = sent_at + timing.term_lease_;
    lead.act_from_ = now;
    if (won.term_ > 1)
        lead.act_from_ +=
            timing.term_lease_ + timing.order_timeout_ + timing.margin_;
    return lead;
}


void update_leadership(
    leadership& lead,
    const leader_term& observed,
    base::time_point sent_at,
    const group_timing& timing)
{
    if (lead.won_.term_ == 0 || observed.term_ < lead.won_.term_)
        return;
    if (!(observed == lead.won_)) {
        lead = leadership{};
        return;
    }
    lead.lease_until_ =
        std::max(lead.lease_until_, sent_at + timing.term_lease_);
}


bool may_act(const leadership& lead, base::time_point now) noexcept
{
    if (lead.won_.term_ == 0)
        return false;
    return now >= lead.act_from_ && now < lead.lease_until_;
}

} // namespace monsoondock::groups
