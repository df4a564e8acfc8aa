#pragma once

#include <monsoondock/admission/service_times.hpp>

namespace monsoondock::admission {

/// State of an upstream as a new request meets it.
struct upstream_load
{
    service_times times_;
    /// Requests that are in progress or wait there, as far as they are known.
    /// May be a fraction when some of them are estimated.
    double requests_ = 0;
    /// Variance of that number, when some of them are estimated.
    double variance_ = 0;
};


/// Load by requests of one model that are more urgent than a new one, or as
/// urgent, as shares of what its upstreams complete while all slots are busy.
struct urgent_load
{
    /// By requests that are more urgent.
    double above_ = 0;
    /// By these and by those that are as urgent.
    double up_to_ = 0;
    /// By requests of any urgency.
    double total_ = 0;
};


/// Predicted time from the arrival of a request to the first event of its
/// response, in parts: a time that about four of five requests don't exceed. If
/// it were the mean, half of the requests that are predicted to meet their
/// target would miss it. No part is negative.
struct prediction
{
    /// Until a slot becomes free, with a margin for the spread of this time; 0
    /// when a slot is free.
    milliseconds slot_wait_{0};
    /// From then on: the rest of the current scheduling pass, the processing of
    /// prompts and one pass.
    milliseconds start_{0};
};


/// Returns the predicted time to the first event.
milliseconds total(const prediction& p);


/// Predicts the time to the first event of a request. Waiting requests start in
/// the order of their urgency; the formulas are in docs/design/admission.md.
prediction predict(
    const upstream_load& upstream,
    const urgent_load& load,
    double prompt_tokens);

} // namespace monsoondock::admission
