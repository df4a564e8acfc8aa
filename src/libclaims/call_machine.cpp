#include "attempt_def.hpp"

#include <monsoondock/claims/call_machine.hpp>

#include <algorithm>

namespace monsoondock::claims {

namespace {

using namespace pvt;

using attempt = msm::back::state_machine<attempt_def>;
// Boost.MSM numbers the states in the order in which the transition table first
// names them, source states before states that are only targets.
constexpr int DONE_STATE = 7;

} // namespace


struct call_machine::impl
{
    attempt machine_;

    void classify(const write_answered& e)
    {
        if (e.id_.value_ != machine_.last_call_id_)
            return;
        // Advances the id so that a duplicate of this answer is ignored.
        ++machine_.last_call_id_;
        std::visit([this](const auto& o) { classify(o); }, e.outcome_);
    }

    void classify(const platform::written& o)
    {
        machine_.process_event(write_done{o.version_});
    }

    void classify(const platform::condition_failed&)
    {
        machine_.process_event(write_conflict{});
    }

    void classify(const platform::not_reached&)
    {
        machine_.process_event(write_not_reached{});
    }

    void classify(const platform::answer_lost&)
    {
        machine_.process_event(write_answer_lost{});
    }

    void classify(const read_answered& e)
    {
        if (e.id_.value_ != machine_.last_call_id_)
            return;
        ++machine_.last_call_id_;
        if (!e.object_) {
            machine_.process_event(claim_absent{});
            return;
        }
        const claim_assessment assessment = assess_claim(
            *e.object_,
            machine_.call_,
            e.owner_,
            machine_.timing_,
            machine_.now_.wall_);
        std::visit([this](const auto& found) { classify(found); }, assessment);
    }

    void classify(const own_claim& found)
    {
        machine_.process_event(found_own{found});
    }

    void classify(const foreign_claim& found)
    {
        machine_.process_event(found_foreign{found.answer_});
    }

    void classify(const read_failed& e)
    {
        if (e.id_.value_ != machine_.last_call_id_)
            return;
        ++machine_.last_call_id_;
        machine_.process_event(read_unanswered{});
    }

    void classify(const exchange_ended& e)
    {
        machine_.process_event(e);
    }

    void classify(const tick&)
    {
        machine_.process_event(tick_received{});
    }
};


call_machine::call_machine(call c, claim_timing timing)
    : impl_(std::make_unique<impl>())
{
    attempt& m = impl_->machine_;
    m.call_ = std::move(c);
    m.timing_ = timing;
    m.object_key_ = claim_object_key(m.call_.key_);
}


call_machine::call_machine(call_machine&&) noexcept = default;
call_machine& call_machine::operator=(call_machine&&) noexcept = default;
call_machine::~call_machine() = default;


std::vector<claim_command> call_machine::start(clock_reading now)
{
    attempt& m = impl_->machine_;
    m.now_ = now;
    const auto time_to_deadline = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(m.call_.deadline_ - now.boot_, base::duration(0)));
    m.record_.call_ = m.call_.key_;
    m.record_.token_ = m.call_.token_;
    m.record_.fingerprint_ = m.call_.fingerprint_;
    m.record_.owner_ = m.call_.owner_;
    m.record_.claimed_at_ = now.wall_;
    m.record_.expected_end_ =
        now.wall_ + time_to_deadline + m.call_.exchange_timeout_;
    m.start();
    m.process_event(begin_attempt{});
    return std::exchange(m.commands_, {});
}


std::vector<claim_command>
call_machine::process(const claim_event& event, clock_reading now)
{
    attempt& m = impl_->machine_;
    m.now_ = now;
    std::visit([this](const auto& e) { impl_->classify(e); }, event);
    return std::exchange(m.commands_, {});
}


bool call_machine::finished() const noexcept
{
    return impl_->machine_.current_state()[0] == DONE_STATE;
}

} // namespace monsoondock::claims
