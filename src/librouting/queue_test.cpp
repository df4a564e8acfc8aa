#include <monsoondock/routing/admission.hpp>
#include <monsoondock/routing/gcra.hpp>
#include <monsoondock/routing/retry_budget.hpp>
#include <monsoondock/routing/shared_limit.hpp>

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace monsoondock;
using namespace monsoondock::routing;
using namespace std::chrono_literals;

namespace {

base::time_point at(std::chrono::milliseconds t)
{
    return base::time_point(t);
}


queue_item
item(int n, const char* workspace, std::uint32_t cost, priority_class c = {})
{
    queue_item i;
    i.request_ = {std::to_string(n)};
    i.workspace_ = {workspace};
    i.cost_ = cost;
    i.class_ = c;
    i.deadline_ = at(1h);
    return i;
}

} // namespace


Test(fair_queue, shares_work_evenly_for_any_number_and_size_of_requests)
{
    fair_queue q;
    for (int i = 0; i < 1000; ++i)
        q.push(item(i, "large", 400));
    for (int i = 0; i < 1000; ++i)
        q.push(item(i, "small", 50));
    std::map<std::string, int> work;
    for (int i = 0; i < 400; ++i) {
        const auto next = q.pop(at(0ms));
        work[next->workspace_.value_] += static_cast<int>(next->cost_);
    }
    cr_assert(std::abs(work["large"] - work["small"]) <= 800);
}


Test(fair_queue, reports_wait_but_are_not_starved_and_urgent_ones_go_first)
{
    fair_queue q;
    for (int i = 0; i < 100; ++i) {
        q.push(item(i, "w", 10));
        q.push(item(1000 + i, "w", 10, priority_class::report));
    }
    int reports = 0;
    for (int i = 0; i < 50; ++i)
        reports += q.pop(at(0ms))->class_ == priority_class::report;
    cr_assert(reports == 5);
    queue_item urgent = item(5000, "w2", 10, priority_class::report);
    urgent.deadline_ = at(10s);
    q.push(urgent);
    const auto a = q.pop(at(0ms));
    const auto b = q.pop(at(0ms));
    cr_assert(a->request_.value_ == "5000" || b->request_.value_ == "5000");
}


Test(fair_queue, expired_and_removed_requests_are_not_counted)
{
    fair_queue q;
    queue_item late = item(1, "w", 10);
    late.deadline_ = at(5ms);
    q.push(late);
    q.push(item(2, "w", 10));
    q.push(item(3, "v", 10));
    const auto expired = q.expire(at(5ms));
    cr_assert(expired.size() == 1 && expired[0].request_.value_ == "1");
    cr_assert(q.remove(item(2, "w", 10)) && !q.remove(item(2, "w", 10)));
    cr_assert(q.work_ahead(item(4, "u", 10)) == 10);
    cr_assert(q.pop(at(6ms))->request_.value_ == "3");
    cr_assert(!q.pop(at(6ms)) && q.size() == 0);
}


Test(admission, refuses_requests_that_would_start_late_and_spreads_retries)
{
    fair_queue q;
    for (int i = 0; i < 100; ++i)
        q.push(item(i, "w", 100));
    std::mt19937_64 random(7);
    queue_item next = item(101, "w", 100);
    next.deadline_ = at(12s);
    cr_assert(std::holds_alternative<admitted>(
        decide_admission(q, next, 1000, at(0ms), random)));
    next.deadline_ = at(4s);
    std::set<std::chrono::milliseconds> times;
    for (int i = 0; i < 100; ++i) {
        const auto r =
            std::get<refused>(decide_admission(q, next, 1000, at(0ms), random));
        cr_assert(r.expected_wait_ == 10s);
        cr_assert(r.retry_after_ >= 6s && r.retry_after_ <= 12s);
        times.insert(r.retry_after_);
    }
    cr_assert(times.size() > 90);
    queue_item other = item(102, "v", 100);
    other.deadline_ = at(1s);
    cr_assert(
        std::holds_alternative<admitted>(
            decide_admission(q, other, 1000, at(0ms), random)),
        "a backlog of one workspace must not block another");
}


Test(gcra, allows_the_rate_and_returns_the_time_until_a_retry)
{
    gcra limit(10, 200ms);
    int allowed = 0;
    for (auto t = 0ms; t < 10s; t += 10ms)
        allowed += limit.take(at(t)).count() == 0;
    cr_assert(allowed >= 100 && allowed <= 103);
    const auto wait = limit.take(at(10s));
    const auto again = limit.take(at(10s) + wait);
    cr_assert(wait.count() == 0 || again.count() == 0);
}


Test(retry_budget, retries_stay_a_share_of_successes)
{
    retry_budget budget(0.1, 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.succeeded();
        retries += budget.take();
    }
    cr_assert(retries >= 100 && retries <= 105);
}


Test(gcra, raising_a_low_rate_takes_effect_at_once)
{
    gcra limit(0.1, 0ms);
    cr_assert(limit.take(at(0ms)).count() == 0);
    cr_assert(limit.take(at(1ms)) > 9s);
    limit.set_rate(100, at(1ms));
    cr_assert(limit.take(at(1ms)) <= 10ms);
}


Test(shared_limit, eight_daemons_keep_the_rate_while_demand_moves)
{
    constexpr unsigned DAEMONS = 8;
    std::vector<shared_limit> limits;
    for (unsigned d = 0; d < DAEMONS; ++d)
        limits.emplace_back(
            base::daemon_id{std::to_string(d)}, 100, DAEMONS, at(0ms));
    int allowed = 0;
    for (auto t = 0ms; t < 120s; t += 4ms) {
        const auto busiest = static_cast<unsigned>(t / 10s) * 3 % DAEMONS;
        allowed += limits[busiest].take(at(t)).count() == 0;
        if (t.count() % 200 != 0)
            continue;
        for (auto& from : limits) {
            const auto report = from.report(at(t));
            for (auto& to : limits)
                if (&to != &from)
                    to.receive_report(report, at(t));
        }
    }
    cr_assert(allowed > 11400 && allowed < 12600, "allowed %d", allowed);
}
