#include "event_scheduler.hpp"
#include "experiments.hpp"
#include "statistics.hpp"

#include <monsoondock/routing/retry_budget.hpp>

#include <cstdio>
#include <random>

namespace monsoondock::routing_bench {

namespace {

constexpr double REQUESTS_PER_SECOND = 100;
constexpr int UPSTREAMS = 20;
constexpr int MAX_ATTEMPTS = 4;


struct retry_outcome
{
    long requests_ = 0;
    long retries_ = 0;
    long failed_ = 0;
    long outage_requests_ = 0;
    long outage_retries_ = 0;
};


// Simulates requests to upstreams, half of which fail in the middle third of
// the run.
retry_outcome run_outage(bool budgeted, const run_options& options)
{
    retry_outcome out;
    std::mt19937_64 random(options.seed_);
    routing::retry_budget budget;
    std::uniform_int_distribution<int> upstream(0, UPSTREAMS - 1);
    const auto count = static_cast<long>(
        REQUESTS_PER_SECOND * static_cast<double>(options.length_.count()));
    for (long i = 0; i < count; ++i) {
        const bool outage = i > count / 3 && i < 2 * count / 3;
        ++out.requests_;
        out.outage_requests_ += outage;
        for (int attempt = 1;; ++attempt) {
            const bool fails = outage && upstream(random) < UPSTREAMS / 2;
            if (!fails) {
                budget.succeeded();
                break;
            }
            const bool retry = budgeted
                                   ? attempt < MAX_ATTEMPTS && budget.take()
                                   : attempt < MAX_ATTEMPTS;
            if (!retry) {
                ++out.failed_;
                break;
            }
            ++out.retries_;
            ++out.outage_retries_;
        }
    }
    return out;
}


void print_row(const char* policy, const retry_outcome& o)
{
    std::printf(
        "| %s | %ld | %.1f | %.1f | %ld |\n",
        policy,
        o.requests_,
        100.0 * static_cast<double>(o.retries_) /
            static_cast<double>(o.requests_),
        100.0 * static_cast<double>(o.outage_retries_) /
            static_cast<double>(o.outage_requests_),
        o.failed_);
}

} // namespace


void compare_retries(const run_options& options)
{
    std::printf("\nretries while half of the upstreams fail, upstreams chosen "
                "at random\n\n");
    std::printf("| policy | requests | retries %% | in the outage %% | failed "
                "|\n| --- | --- | --- | --- | --- |\n");
    print_row("up to three retries", run_outage(false, options));
    print_row("budget of 10 %", run_outage(true, options));
}

} // namespace monsoondock::routing_bench
