#include <monsoondock/admission/call_time_meter.hpp>
#include <monsoondock/admission/prediction.hpp>

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

using namespace monsoondock;
using namespace monsoondock::admission;

namespace {

// An engine with 34 slots of about 1.6 s each.
catalog::engine make_engine()
{
    catalog::engine e;
    e.slots_ = 34;
    e.step_ms_ = 6;
    e.step_per_request_ms_ = 0.03;
    e.prefill_tokens_per_ms_ = 43;
    e.prefill_chunk_tokens_ = 512;
    e.steps_per_scheduling_pass_ = 8;
    e.mean_prompt_tokens_ = 700;
    e.mean_answer_tokens_ = 160;
    return e;
}


upstream_load make_load(double requests)
{
    return {*times_of_engine(make_engine(), 1, 34), requests};
}


double predicted_ms(double requests, double prompt_tokens)
{
    return total(predict(make_load(requests), {}, prompt_tokens)).count();
}

} // namespace

Test(prediction, a_free_slot_costs_the_rest_of_a_pass_and_one_pass)
{
    const auto t = *times_of_engine(make_engine(), 1, 34);
    cr_expect_float_eq(t.pass_.count(), 56.2, 0.1);
    cr_expect_float_eq(predicted_ms(0, 0), 1.8 * 56.16, 0.1);
    // 1,960 tokens add 45 ms.
    cr_expect_float_eq(
        predicted_ms(0, 1960) - predicted_ms(0, 0), 1960 / 43.0, 0.1);
}


// Guards against a prediction without the queue.
Test(prediction, a_queue_of_three_takes_as_long_as_three_completions)
{
    const upstream_load u = make_load(36);
    const double rate = completions_per_second(u.times_);
    cr_expect_float_eq(rate, 20.2, 0.5);
    const prediction p = predict(u, {}, 700);
    // With the margin for the spread.
    cr_expect_float_eq(
        p.slot_wait_.count(), 1000 * (3 + 0.84 * std::sqrt(3)) / rate, 0.1);
    cr_expect_eq(predict(make_load(33), {}, 700).slot_wait_.count(), 0);
}


// Guards against figures that are used without the factor of the model.
Test(prediction, the_time_factor_applies_to_all_parts)
{
    const upstream_load fast{*times_of_engine(make_engine(), 0.6, 34), 40};
    const prediction a = predict(fast, {}, 700);
    const prediction b = predict(make_load(40), {}, 700);
    cr_expect_float_eq(a.slot_wait_ / b.slot_wait_, 0.6, 1e-6);
    cr_expect_float_eq(a.start_ / b.start_, 0.6, 1e-6);
}


// Guards against a prompt of several passes that counts as one pass.
Test(prediction, a_prompt_beyond_the_chunks_of_a_pass_takes_further_passes)
{
    const double pass = times_of_engine(make_engine(), 1, 34)->pass_.count();
    cr_expect_float_eq(
        predicted_ms(0, 8 * 512 + 1) - predicted_ms(0, 8 * 512), pass, 0.1);
}


// Guards against counting requests ahead that the engine starts later.
Test(prediction, urgent_requests_pass_the_others)
{
    const urgent_load urgent{0, 0.4, 1.2};
    const urgent_load other{0.4, 1.2, 1.2};
    const upstream_load u = make_load(54);
    const auto first = predict(u, urgent, 700).slot_wait_;
    const auto second = predict(u, other, 700).slot_wait_;
    cr_expect_lt(first.count(), second.count() / 5);
}


// Guards against divisions by figures that are not published.
Test(prediction, there_are_no_times_without_the_figures)
{
    catalog::engine e = make_engine();
    cr_expect(times_of_engine(e, 1, 34).has_value());
    cr_expect_not(times_of_engine(e, 0, 34).has_value());
    cr_expect_not(times_of_engine(e, 1, 0).has_value());
    e.prefill_tokens_per_ms_ = 0;
    cr_expect_not(times_of_engine(e, 1, 34).has_value());
    e = make_engine();
    e.step_ms_ = std::numeric_limits<double>::quiet_NaN();
    cr_expect_not(times_of_engine(e, 1, 34).has_value());
    e = make_engine();
    e.mean_answer_tokens_ = 0;
    cr_expect_not(times_of_engine(e, 1, 34).has_value());
    cr_expect_not(times_of_plain_service(milliseconds{0}, 6).has_value());
}


Test(prediction, a_plain_service_has_slots_without_passes)
{
    const auto times = *times_of_plain_service(milliseconds{30}, 6);
    cr_expect_float_eq(completions_per_second(times), 200, 1e-6);
    cr_expect_float_eq(total(predict({times, 0}, {}, 0)).count(), 30, 1e-6);
    const prediction p = predict({times, 6 + 99}, {}, 0);
    cr_expect_gt(p.slot_wait_.count(), 500);
    cr_expect_lt(p.slot_wait_.count(), 600);
}


Test(call_time_meter, has_no_average_before_enough_calls)
{
    call_time_meter meter;
    for (unsigned i = 1; i < call_time_meter::min_measurements; ++i)
        meter.add(milliseconds{30});
    cr_expect_eq(meter.average().count(), 0);
    meter.add(milliseconds{30});
    cr_expect_float_eq(meter.average().count(), 30, 1e-6);
}
