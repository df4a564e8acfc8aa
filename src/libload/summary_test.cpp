#include "execution_check.hpp"

#include <monsoondock/load/summary.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::load;
using namespace std::chrono_literals;


static arrival arrival_of(std::size_t workspace, request_class c)
{
    arrival a;
    a.workspace_index_ = workspace;
    a.class_ = c;
    a.idempotency_key_ = "k";
    return a;
}


Test(percentiles, are_exact)
{
    std::vector<std::chrono::nanoseconds> samples;
    for (int i = 1; i <= 100; ++i)
        samples.emplace_back(i);
    const percentiles p = percentiles_of(samples);
    cr_assert(p.count_ == 100);
    cr_assert(p.p50_ >= 50ns && p.p50_ <= 51ns);
    cr_assert(p.p99_ >= 99ns && p.p99_ <= 100ns);
    cr_assert(p.max_ == 100ns);
    cr_assert(percentiles_of({}).count_ == 0);
}


Test(summary, counts_goodput_and_fairness)
{
    arrival first = arrival_of(0, request_class::interactive);
    first.stream_ = true;
    const arrival second = arrival_of(1, request_class::interactive);
    const completed quick{1ms, 2ms, 0ms, 4};
    const completed late{1ms, 20ms, 0ms, 4};
    const std::vector<request_record> records{
        {&first, quick},
        {&first, late},
        {&second, refused{429, "limit", "not_run", true, 1ms}},
        {&second, transport_failure{"answer truncated"}}};
    const std::vector<workspace> workspaces{{{"a"}, ""}, {{"b"}, ""}};
    const summary s = summarize(records, workspaces, {10ms, 0ms, 0ms}, 2s);
    cr_assert(s.all_.sent_ == 4 && s.all_.completed_ == 2);
    cr_assert(s.all_.in_time_ == 1 && s.goodput_ == 0.5);
    cr_assert(s.tokens_ == 8);
    cr_assert(s.workspaces_[0].first_token_.count_ == 2);
    cr_assert(s.workspaces_[1].first_token_.count_ == 0);
    cr_assert(s.refusals_[0].reason_ == "429 limit not_run");
    cr_assert(s.lowest_share_ == 0.0 && s.fairness_ == 0.5);
}


Test(execution_check, finds_every_contradiction)
{
    const arrival call = arrival_of(0, request_class::call);
    const refused not_run{503, "down", "not_run", true, 1ms};
    const refused unknown{502, "lost", "unknown", false, 1ms};
    std::vector<request_record> ran_twice{{&call, completed{}}};
    std::vector<request_record> never_ran = ran_twice;
    std::vector<request_record> contradicted{{&call, not_run}};
    std::vector<request_record> consistent{{&call, unknown}};
    pvt::check_executions(ran_twice, {{"k", 2}});
    pvt::check_executions(never_ran, {});
    pvt::check_executions(contradicted, {{"k", 1}});
    pvt::check_executions(consistent, {{"k", 1}});
    cr_assert(std::holds_alternative<wrong_answer>(ran_twice[0].outcome_));
    cr_assert(std::holds_alternative<wrong_answer>(never_ran[0].outcome_));
    cr_assert(std::holds_alternative<wrong_answer>(contradicted[0].outcome_));
    cr_assert(std::holds_alternative<refused>(consistent[0].outcome_));
}
