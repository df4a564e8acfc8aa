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


bool leads(const domain_control& control)
{
    return control.leadership_.won_.term_ != 0;
}


/// A leader that reaches no host lets another daemon try.
bool is_blind(
    const domain_control& control,
    base::time_point now,
    const group_timing& timing)
{
    return control.blind_since_ &&
           now - *control.blind_since_ > timing.contact_lifetime_;
}


void note_sight(
    domain_control& control,
    const leader_input& input,
    const group_timing& timing)
{
    const bool may_look =
        may_act(control.leadership_, input.now_) && !input.hosts_.empty();
    if (!may_look || pvt::sees_any_host(input, timing))
        control.blind_since_.reset();
    else if (!control.blind_since_)
        control.blind_since_ = input.now_;
}


void note_challenge(
    domain_control& control, const domain_record& record, base::time_point now)
{
    if (record.challenged_) {
        if (!control.challenged_since_)
            control.challenged_since_ = now;
        return;
    }
    // Only the leader clears a challenge, so it lives.
    if (control.challenged_since_)
        control.leader_seen_ = now;
    control.challenged_since_.reset();
}


leader_step lead_domain(
    domain_control& control,
    const leader_input& input,
    const group_timing& timing)
{
    note_sight(control, input, timing);
    leader_step step =
        plan_step(control.memory_, control.leadership_, input, timing);
    const bool answers = input.record_.challenged_ &&
                         input.now_ < control.leadership_.lease_until_ &&
                         !is_blind(control, input.now_, timing);
    if (answers && !step.write_)
        step.write_ = input.record_;
    if (step.write_ && answers)
        step.write_->challenged_ = false;
    return step;
}


leader_step write_of(domain_record record)
{
    leader_step step;
    step.write_ = std::move(record);
    return step;
}


leader_step follow(
    const domain_control& control,
    const control_identity& self,
    const leader_input& input,
    const group_timing& timing)
{
    const leader_term me{0, self.daemon_, self.incarnation_};
    if (!should_challenge(self.rank_, control.leader_seen_, input.now_, timing))
        return {};
    if (input.record_.leader_.term_ == 0)
        return write_of(with_next_term(input.record_, me));
    if (!input.record_.challenged_) {
        domain_record challenged = input.record_;
        challenged.challenged_ = true;
        return write_of(std::move(challenged));
    }
    const bool unanswered =
        control.challenged_since_ &&
        input.now_ - *control.challenged_since_ >= timing.challenge_wait_;
    if (!unanswered)
        return {};
    return write_of(with_next_term(input.record_, me));
}

} // namespace

domain_control make_control(base::time_point now)
{
    domain_control control;
    control.leader_seen_ = now;
    return control;
}


void observe_record(
    domain_control& control,
    const control_identity& self,
    const domain_record& record,
    base::time_point asked,
    base::time_point now,
    const group_timing& timing)
{
    if (record.leader_.term_ < control.observed_term_.term_)
        return;
    if (!(record.leader_ == control.observed_term_)) {
        control.observed_term_ = record.leader_;
        control.leader_seen_ = now;
        control.challenged_since_.reset();
    }
    note_challenge(control, record, now);
    note_record(control.leadership_, record.leader_, asked, timing);
    if (is_self(self, record.leader_) && !leads(control)) {
        control.leadership_ = begin_term(record.leader_, asked, now, timing);
        control.memory_ = leader_memory{};
        control.blind_since_.reset();
    }
}


void observe_claim(
    domain_control& control, const lease_claim& claim, base::time_point asked)
{
    if (claim.term_ == control.observed_term_.term_ &&
        asked > control.leader_seen_)
        control.leader_seen_ = asked;
}


std::optional<lease_claim> make_claim(
    const domain_control& control,
    const base::fabric_domain_id& domain,
    base::time_point now,
    const group_timing& timing)
{
    if (!leads(control) || now >= control.leadership_.lease_until_)
        return std::nullopt;
    if (is_blind(control, now, timing))
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
    if (leads(control))
        return lead_domain(control, input, timing);
    return follow(control, self, input, timing);
}

} // namespace monsoondock::groups
