#include "member_state.hpp"

#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/groups/domain_control.hpp>

namespace monsoondock::groups {

namespace {

bool is_self(const control_identity& self, const leader_term& term)
{
    return term.daemon_ == self.daemon_ &&
           term.incarnation_ == self.incarnation_;
}


bool is_leader(const domain_control& control)
{
    return control.leadership_.won_.term_ != 0;
}


/// True when a leader has reached no host for so long that another daemon
/// should take over.
bool has_lost_contact(
    const domain_control& control,
    base::time_point now,
    const group_timing& timing)
{
    return control.no_contact_since_ &&
           now - *control.no_contact_since_ > timing.contact_lifetime_;
}


void update_host_contact(
    domain_control& control,
    const leader_input& input,
    const group_timing& timing)
{
    const bool should_check =
        may_act(control.leadership_, input.now_) && !input.hosts_.empty();
    if (!should_check || pvt::reached_any_host(input, timing))
        control.no_contact_since_.reset();
    else if (!control.no_contact_since_)
        control.no_contact_since_ = input.now_;
}


void observe_challenge(
    domain_control& control, const domain_record& record, base::time_point now)
{
    if (record.challenged_) {
        if (!control.challenged_since_)
            control.challenged_since_ = now;
        return;
    }
    // Only the leader clears a challenge, so it is alive.
    if (control.challenged_since_)
        control.leader_last_seen_ = now;
    control.challenged_since_.reset();
}


leader_step lead_domain(
    domain_control& control,
    const leader_input& input,
    const group_timing& timing)
{
    update_host_contact(control, input, timing);
    leader_step step =
        plan_step(control.term_state_, control.leadership_, input, timing);
    const bool clears_challenge =
        input.record_.challenged_ &&
        input.now_ < control.leadership_.lease_until_ &&
        !has_lost_contact(control, input.now_, timing);
    if (clears_challenge && !step.write_)
        step.write_ = input.record_;
    if (step.write_ && clears_challenge)
        step.write_->challenged_ = false;
    return step;
}


leader_step write_step(domain_record record)
{
    leader_step step;
    step.write_ = std::move(record);
    return step;
}


leader_step follow_leader(
    const domain_control& control,
    const control_identity& self,
    const leader_input& input,
    const group_timing& timing)
{
    const leader_term own_term{0, self.daemon_, self.incarnation_};
    if (!should_challenge(
            self.rank_, control.leader_last_seen_, input.now_, timing))
        return {};
    if (input.record_.leader_.term_ == 0)
        return write_step(with_next_term(input.record_, own_term));
    if (!input.record_.challenged_) {
        domain_record challenged = input.record_;
        challenged.challenged_ = true;
        return write_step(std::move(challenged));
    }
    const bool unanswered =
        control.challenged_since_ &&
        input.now_ - *control.challenged_since_ >= timing.challenge_timeout_;
    if (!unanswered)
        return {};
    return write_step(with_next_term(input.record_, own_term));
}

} // namespace

domain_control make_control(base::time_point now)
{
    domain_control control;
    control.leader_last_seen_ = now;
    return control;
}


void observe_record(
    domain_control& control,
    const control_identity& self,
    const domain_record& record,
    base::time_point sent_at,
    base::time_point now,
    const group_timing& timing)
{
    if (record.leader_.term_ < control.observed_term_.term_)
        return;
    if (!(record.leader_ == control.observed_term_)) {
        control.observed_term_ = record.leader_;
        control.leader_last_seen_ = now;
        control.challenged_since_.reset();
    }
    observe_challenge(control, record, now);
    update_leadership(control.leadership_, record.leader_, sent_at, timing);
    if (is_self(self, record.leader_) && !is_leader(control)) {
        control.leadership_ = begin_term(record.leader_, sent_at, now, timing);
        control.term_state_ = term_state{};
        control.no_contact_since_.reset();
    }
}


void observe_claim(
    domain_control& control, const lease_claim& claim, base::time_point sent_at)
{
    if (claim.term_ == control.observed_term_.term_ &&
        sent_at > control.leader_last_seen_)
        control.leader_last_seen_ = sent_at;
}


std::optional<lease_claim> make_claim(
    const domain_control& control,
    const base::fabric_domain_id& domain,
    base::time_point now,
    const group_timing& timing)
{
    if (!is_leader(control) || now >= control.leadership_.lease_until_)
        return std::nullopt;
    if (has_lost_contact(control, now, timing))
        return std::nullopt;
    return lease_claim{
        base::stable_hash(domain.value_),
        static_cast<std::uint32_t>(control.leadership_.won_.term_)};
}


leader_step control_step(
    domain_control& control,
    const control_identity& self,
    const leader_input& input,
    const group_timing& timing)
{
    if (is_leader(control))
        return lead_domain(control, input, timing);
    return follow_leader(control, self, input, timing);
}

} // namespace monsoondock::groups
