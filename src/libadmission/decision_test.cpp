#include <monsoondock/admission/decision.hpp>

#include <criterion/criterion.h>

#include <vector>

using namespace monsoondock;
using namespace monsoondock::admission;

namespace {

// 34 slots, 20 completions in a second.
service_times make_times()
{
    service_times t;
    t.slots_ = 34;
    t.pass_ = milliseconds{56};
    t.per_prompt_token_ = milliseconds{1.0 / 43};
    t.mean_prompt_tokens_ = 700;
    t.occupation_ = milliseconds{1700};
    return t;
}


conditions make_conditions(const std::vector<double>& requests, double load)
{
    conditions c;
    for (const double n : requests)
        c.upstreams_.push_back({make_times(), n});
    c.load_ = {0, load, load};
    c.report_age_ = milliseconds{200};
    return c;
}


arrival make_arrival()
{
    arrival a;
    a.prompt_tokens_ = 700;
    a.target_ = milliseconds{500};
    a.time_left_ = milliseconds{8000};
    a.longest_return_ = milliseconds{2600};
    return a;
}

} // namespace

// Guards against refusals of requests that are predicted to be on time, however
// high the demand is.
Test(decision, admits_what_is_predicted_to_be_on_time)
{
    const decision d = decide(make_arrival(), make_conditions({36, 36}, 3));
    cr_expect_not(d.refusal_.has_value());
    cr_expect_gt(d.predicted_.count(), 100);
    cr_expect_leq(d.predicted_.count(), 500);
}


// Guards against refusals because of a target that can't be met without a
// queue.
Test(decision, admits_a_late_request_when_a_slot_is_free)
{
    arrival a = make_arrival();
    a.target_ = milliseconds{50};
    const decision d = decide(a, make_conditions({20, 20}, 3));
    cr_expect_not(d.refusal_.has_value());
    cr_expect_gt(d.predicted_.count(), 50);
}


Test(decision, refuses_what_cannot_begin_before_the_deadline)
{
    arrival a = make_arrival();
    a.time_left_ = milliseconds{400};
    a.longest_return_ = milliseconds{130};
    a.random_fraction_ = 0.99;
    const decision d = decide(a, make_conditions({60, 60}, 1));
    cr_assert(d.refusal_ == refusal_reason::too_late);
    // Guards against predictions above the deadline.
    cr_expect_eq(d.predicted_.count(), 400);
    cr_expect_leq(d.retry_after_.count(), 130);
}


// Guards against refusing more than exceeds what the upstreams complete.
Test(decision, refuses_the_excess_when_the_queue_is_too_long)
{
    const conditions c = make_conditions({41, 41}, 1.25);
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        arrival a = make_arrival();
        a.random_fraction_ = i / 100.0;
        refused += decide(a, c).refusal_ == refusal_reason::queue_full ? 1 : 0;
    }
    cr_expect_geq(refused, 20);
    cr_expect_leq(refused, 50);
}


Test(decision, refuses_more_the_longer_the_queue_is)
{
    arrival a = make_arrival();
    a.random_fraction_ = 0.98;
    cr_expect_not(decide(a, make_conditions({44}, 1.1)).refusal_.has_value());
    cr_expect(decide(a, make_conditions({64}, 1.1)).refusal_.has_value());
}


// Guards against refusing others before a workspace over its share.
Test(decision, refuses_workspaces_over_their_share_first)
{
    conditions c = make_conditions({42}, 1.25);
    c.refused_first_share_ = 0.6;
    arrival a = make_arrival();
    cr_expect_not(decide(a, c).refusal_.has_value());
    a.over_share_ = true;
    cr_expect(decide(a, c).refusal_ == refusal_reason::over_share);
    a.over_share_ = false;
    a.returned_ = true;
    cr_expect(decide(a, c).refusal_ == refusal_reason::queue_full);
}


// Guards against equal limits for all priorities.
Test(decision, admits_urgent_requests_to_a_longer_queue)
{
    const auto longest_queue = [](unsigned priority) {
        arrival a = make_arrival();
        a.priority_ = priority;
        double requests = 34;
        while (!decide(a, make_conditions({requests}, 1)).refusal_)
            requests += 0.05;
        return requests;
    };
    cr_expect_gt(longest_queue(0), longest_queue(1));
    cr_expect_gt(longest_queue(1), longest_queue(2));
}


// Guards against the refusal of large prompts that can begin in time.
Test(decision, does_not_refuse_a_prompt_because_it_is_large)
{
    arrival a = make_arrival();
    a.prompt_tokens_ = 30000;
    const decision d = decide(a, make_conditions({35}, 1.5));
    cr_expect_not(d.refusal_.has_value());
    cr_expect_gt(d.predicted_.count(), 500);
}


// Guards against callers that return together.
Test(decision, spreads_the_callers_that_return)
{
    const conditions c = make_conditions({84}, 2);
    arrival a = make_arrival();
    const auto first = decide(a, c).retry_after_;
    a.random_fraction_ = 0.99;
    const auto last = decide(a, c).retry_after_;
    cr_expect_gt((last - first).count(), 500);
    cr_expect_leq(last.count(), 2600);
}


// Guards against counting more unreported requests at a new group than arrive.
Test(decision, a_free_group_among_full_ones_is_not_predicted_full)
{
    std::vector<double> requests(29, 60);
    requests.push_back(0);
    arrival a = make_arrival();
    a.target_ = milliseconds{200};
    const decision d = decide(a, make_conditions(requests, 0.1));
    cr_expect_not(d.refusal_.has_value());
    cr_expect_leq(d.predicted_.count(), 200);
}


Test(decision, admits_without_upstreams)
{
    cr_expect_not(decide(make_arrival(), {}).refusal_.has_value());
}
