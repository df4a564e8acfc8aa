#include <monsoondock/hostpace/engine_pace.hpp>
#include <monsoondock/hostpace/service_latency.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::hostpace;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};


catalog::engine make_engine()
{
    catalog::engine e;
    e.slots_ = 34;
    e.step_ms_ = 5;
    e.step_per_request_ms_ = 0.1;
    e.step_per_1000_tokens_ms_ = 0.01;
    e.prefill_tokens_per_ms_ = 40;
    e.steps_per_scheduling_pass_ = 8;
    e.mean_prompt_tokens_ = 800;
    e.mean_answer_tokens_ = 200;
    return e;
}

} // namespace

Test(engine_pace, events_are_a_scheduling_pass_apart)
{
    const catalog::engine e = make_engine();
    // 8 steps of 5 + 0.1 + 0.9 * 0.01 + 20 / 200 ms.
    cr_assert_float_eq(event_interval(e, 1, 1).count(), 41.672, 0.001);
    cr_assert_float_eq(event_interval(e, 0.6, 1).count(), 25.0032, 0.001);
    cr_assert_gt(event_interval(e, 1, 34), event_interval(e, 1, 1));
    // Requests beyond the slots wait.
    cr_assert_eq(event_interval(e, 1, 40), event_interval(e, 1, 34));
}


Test(engine_pace, the_first_event_waits_for_the_prompt)
{
    const catalog::engine e = make_engine();
    const auto interval = event_interval(e, 1, 10);
    cr_assert_float_eq(
        (first_event_time(e, 1, 10, 2000) - 1.5 * interval).count(), 50, 0.001);
}


// A factor against figures that operators have not set would be meaningless.
Test(engine_pace, without_figures_nothing_is_expected)
{
    const catalog::engine e;
    cr_assert_eq(event_interval(e, 1, 1).count(), 0);
    cr_assert_eq(first_event_time(e, 1, 1, 1000).count(), 0);
}


Test(load_level, levels_are_quarters_of_the_slots)
{
    cr_assert_eq(load_level(0, 6), 0);
    cr_assert_eq(load_level(1, 6), 0);
    cr_assert_eq(load_level(3, 6), 1);
    cr_assert_eq(load_level(4, 6), 2);
    cr_assert_eq(load_level(6, 6), 3);
    cr_assert_eq(load_level(60, 6), 3);
    cr_assert_eq(load_level(1, 0), 0);
}


Test(service_latency, the_median_of_three_hosts_is_expected)
{
    service_latency known;
    cr_assert_not(known.expected(0, start));
    known.add({"a"}, 0, 30ms, start);
    cr_assert_not(known.expected(0, start));
    known.add({"b"}, 0, 32ms, start);
    known.add({"slow"}, 0, 200ms, start);
    cr_assert_float_eq(known.expected(0, start)->count(), 32, 0.001);
}


// A host that is slow only when it is nearly full must not be compared with
// hosts that are idle.
Test(service_latency, hosts_are_compared_at_similar_load)
{
    service_latency known;
    for (const char* host : {"a", "b", "c"}) {
        known.add({host}, 0, 30ms, start);
        known.add({host}, 3, 60ms, start);
    }
    cr_assert_float_eq(known.expected(0, start)->count(), 30, 0.001);
    cr_assert_float_eq(known.expected(1, start)->count(), 30, 0.001);
    cr_assert_float_eq(known.expected(3, start)->count(), 60, 0.001);
}


Test(service_latency, old_latencies_are_not_used)
{
    service_latency known;
    known.add({"a"}, 0, 30ms, start);
    known.add({"b"}, 0, 30ms, start);
    cr_assert(known.expected(0, start + 20s));
    cr_assert_not(known.expected(0, start + 40s));
}
