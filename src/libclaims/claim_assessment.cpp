#include <monsoondock/claims/claim_assessment.hpp>

#include <algorithm>

namespace monsoondock::claims {

namespace {

refusal refuse(refusal_reason reason, execution_status run)
{
    refusal r;
    r.reason_ = reason;
    r.run_ = run;
    return r;
}


caller_answer refuse_in_progress(
    const claim_record& record, const claim_timing& timing, wall_time now)
{
    refusal r = refuse(refusal_reason::in_progress, execution_status::unknown);
    const auto left = record.expected_end_ - now;
    r.retry_after_ = std::min<std::chrono::milliseconds>(
        left + std::chrono::milliseconds(1), timing.progress_retry_after_);
    return r;
}


caller_answer answer_for_claimed(
    const claim_record& record,
    owner_status owner,
    const claim_timing& timing,
    wall_time now)
{
    const bool overdue = now > record.expected_end_;
    if (owner == owner_status::working && !overdue)
        return refuse_in_progress(record, timing, now);
    return refuse(refusal_reason::outcome_unknown, execution_status::unknown);
}


caller_answer answer_for_foreign(
    const claim_record& record,
    const call& c,
    owner_status owner,
    const claim_timing& timing,
    wall_time now)
{
    if (record.call_ != c.key_ || record.fingerprint_ != c.fingerprint_)
        return refuse(
            refusal_reason::different_request, execution_status::not_run);
    switch (record.phase_) {
    case claim_phase::finished:
        return replayed_answer{replay(*record.outcome_)};
    case claim_phase::claimed:
        return answer_for_claimed(record, owner, timing, now);
    case claim_phase::indeterminate:
        break;
    }
    return refuse(refusal_reason::outcome_unknown, execution_status::unknown);
}

} // namespace


claim_assessment assess_claim(
    const platform::object& found,
    const call& c,
    owner_status owner,
    const claim_timing& timing,
    wall_time now)
{
    const auto decoded = decode_claim(found.value_);
    if (!base::ok(decoded))
        return foreign_claim{refuse(
            refusal_reason::record_unreadable, execution_status::unknown)};
    const claim_record& record = base::value(decoded);
    if (record.token_ == c.token_)
        return own_claim{found.version_, record.phase_};
    return foreign_claim{answer_for_foreign(record, c, owner, timing, now)};
}


std::optional<claim_owner> find_owner(const platform::object& found)
{
    const auto decoded = decode_claim(found.value_);
    if (!base::ok(decoded))
        return std::nullopt;
    return base::value(decoded).owner_;
}

} // namespace monsoondock::claims
