#include "event_scheduler.hpp"
#include "experiments.hpp"
#include "statistics.hpp"

#include <monsoondock/routing/admission.hpp>

#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace monsoondock::routing_bench {

namespace {

constexpr int SERVERS = 40;
constexpr double SERVER_TOKENS_PER_SECOND = 20;
constexpr double MEAN_TOKENS = 60;
constexpr double CAPACITY_TOKENS = SERVERS * SERVER_TOKENS_PER_SECOND;
constexpr double CAPACITY_REQUESTS = CAPACITY_TOKENS / MEAN_TOKENS;
constexpr std::chrono::seconds CALLER_TIMEOUT{5};
constexpr int MAX_RETRIES = 5;


struct workspace_load
{
    const char* name_;
    // Arrival rate as a multiple of the capacity.
    double load_ = 1;
};


struct queue_policy
{
    const char* name_;
    bool fair_ = false;
    bool admission_ = false;
};


struct workspace_outcome
{
    long callers_ = 0;
    long in_time_ = 0;
    double tokens_in_time_ = 0;
    long refused_ = 0;
    long abandoned_ = 0;
    std::vector<std::chrono::nanoseconds> waits_;
};


// Simulates one daemon's queue in front of a fixed number of servers. A caller
// retries after CALLER_TIMEOUT; without admission control its earlier request
// stays in the queue and is executed as well.
class queue_simulation
{
public:
    queue_simulation(
        std::vector<workspace_load> loads,
        queue_policy policy,
        const run_options& options)
        : loads_(std::move(loads)), policy_(policy), options_(options),
          random_(options.seed_), rate_(CAPACITY_TOKENS)
    {}

    std::map<std::string, workspace_outcome> run()
    {
        for (const workspace_load& load : loads_)
            schedule_arrival(load);
        if (policy_.admission_)
            expire_waiting();
        scheduler_.run_until(base::time_point(options_.length_));
        return std::move(outcomes_);
    }

private:
    struct waiting_request
    {
        routing::queue_item item_;
        base::time_point submitted_at_;
        int retries_ = 0;
    };

    void schedule_arrival(const workspace_load& load)
    {
        std::exponential_distribution<double> gap(
            load.load_ * CAPACITY_REQUESTS);
        scheduler_.run_after(seconds_to_duration(gap(random_)), [this, load] {
            ++outcomes_[load.name_].callers_;
            submit(load.name_, draw_tokens(), 0);
            schedule_arrival(load);
        });
    }

    std::uint32_t draw_tokens()
    {
        std::exponential_distribution<double> tokens(1 / MEAN_TOKENS);
        return 1 + static_cast<std::uint32_t>(tokens(random_));
    }

    void submit(const std::string& workspace, std::uint32_t tokens, int retries)
    {
        waiting_request w;
        w.item_.request_ = {std::to_string(++submitted_count_)};
        w.item_.workspace_ = {workspace};
        w.item_.cost_ = tokens;
        w.item_.deadline_ = scheduler_.now() + CALLER_TIMEOUT;
        w.submitted_at_ = scheduler_.now();
        w.retries_ = retries;
        if (policy_.admission_ && refused_by_admission(w))
            return;
        if (policy_.fair_)
            queue_.push(w.item_);
        else
            fifo_queue_.push_back(w.item_.request_);
        waiting_[w.item_.request_] = w;
        if (!policy_.admission_)
            scheduler_.run_after(
                CALLER_TIMEOUT, [this, w] { handle_timeout(w); });
        start_next();
    }

    bool refused_by_admission(const waiting_request& w)
    {
        const auto decision = routing::decide_admission(
            queue_, w.item_, rate_.per_second(), scheduler_.now(), random_);
        const auto* r = std::get_if<routing::refused>(&decision);
        if (!r)
            return false;
        ++outcomes_[w.item_.workspace_.value_].refused_;
        schedule_retry(w, r->retry_after_);
        return true;
    }

    void
    schedule_retry(const waiting_request& w, std::chrono::nanoseconds delay)
    {
        if (w.retries_ >= MAX_RETRIES) {
            ++outcomes_[w.item_.workspace_.value_].abandoned_;
            return;
        }
        scheduler_.run_after(delay, [this, w] {
            submit(w.item_.workspace_.value_, w.item_.cost_, w.retries_ + 1);
        });
    }

    // The caller retries; its earlier request stays in the queue.
    void handle_timeout(const waiting_request& w)
    {
        const auto found = waiting_.find(w.item_.request_);
        if (found != waiting_.end())
            schedule_retry(w, std::chrono::nanoseconds(0));
    }

    void expire_waiting()
    {
        for (const auto& item : queue_.expire(scheduler_.now())) {
            const waiting_request w = waiting_.at(item.request_);
            waiting_.erase(item.request_);
            schedule_retry(w, std::chrono::seconds(1));
        }
        scheduler_.run_after(
            std::chrono::milliseconds(20), [this] { expire_waiting(); });
    }

    std::optional<routing::queue_item> take_next()
    {
        if (policy_.fair_)
            return queue_.pop(scheduler_.now());
        if (fifo_queue_.empty())
            return std::nullopt;
        const auto item = waiting_.at(fifo_queue_.front()).item_;
        fifo_queue_.pop_front();
        return item;
    }

    void start_next()
    {
        while (busy_ < SERVERS) {
            const auto item = take_next();
            if (!item)
                return;
            const waiting_request w = waiting_.at(item->request_);
            waiting_.erase(item->request_);
            serve(w);
        }
    }

    void serve(const waiting_request& w)
    {
        ++busy_;
        rate_.drained(w.item_.cost_, scheduler_.now());
        auto& o = outcomes_[w.item_.workspace_.value_];
        const auto wait = scheduler_.now() - w.submitted_at_;
        o.waits_.push_back(wait);
        if (wait <= CALLER_TIMEOUT) {
            ++o.in_time_;
            o.tokens_in_time_ += w.item_.cost_;
        }
        const double seconds = w.item_.cost_ / SERVER_TOKENS_PER_SECOND;
        scheduler_.run_after(seconds_to_duration(seconds), [this] {
            --busy_;
            start_next();
        });
    }

    std::vector<workspace_load> loads_;
    queue_policy policy_;
    run_options options_;
    std::mt19937_64 random_;
    event_scheduler scheduler_;
    routing::fair_queue queue_;
    std::deque<base::request_id> fifo_queue_;
    std::map<base::request_id, waiting_request> waiting_;
    routing::drain_rate rate_;
    int busy_ = 0;
    long submitted_count_ = 0;
    std::map<std::string, workspace_outcome> outcomes_;
};

constexpr queue_policy FIFO{"first in, first out", false, false};
constexpr queue_policy FAIR{"fair queue", true, false};
constexpr queue_policy FAIR_ADMISSION{"fair queue, admission", true, true};


void print_overload(
    const char* policy, double load, const workspace_outcome& o, double seconds)
{
    const double goodput = o.tokens_in_time_ / seconds / CAPACITY_TOKENS;
    std::printf(
        "| %s | %.1f | %ld | %.1f | %ld | %ld |\n",
        policy,
        load,
        o.callers_,
        100 * goodput,
        o.refused_,
        o.abandoned_);
}


void print_fairness(
    const char* load, const char* policy, const workspace_outcome& o)
{
    std::printf(
        "| %s | %s | %ld | %.0f | %.0f | %ld |\n",
        load,
        policy,
        o.callers_,
        milliseconds_of(percentile(o.waits_, 0.5)),
        milliseconds_of(percentile(o.waits_, 0.99)),
        o.refused_);
}

} // namespace


void compare_overload(const run_options& options)
{
    std::printf("\ngoodput, in percent of the capacity\n\n");
    std::printf("| policy | load | callers | in time %% | refusals | "
                "abandoned |\n");
    std::printf("| --- | --- | --- | --- | --- | --- |\n");
    const auto seconds = static_cast<double>(options.length_.count());
    for (const queue_policy& policy : {FIFO, FAIR, FAIR_ADMISSION})
        for (const double load : {0.8, 1.0, 1.5, 2.0, 3.0}) {
            auto outcomes =
                queue_simulation({{"w", load}}, policy, options).run();
            print_overload(policy.name_, load, outcomes["w"], seconds);
        }
}


void compare_fairness(const run_options& options)
{
    std::printf("\nwait of the small workspace\n\n");
    std::printf("| load | policy | callers | p50 ms | p99 ms | refusals |\n");
    std::printf("| --- | --- | --- | --- | --- | --- |\n");
    const workspace_load small{"small", 0.05};
    const workspace_load moderate{"large", 0.7};
    const workspace_load overload{"large", 3};
    for (const queue_policy& policy : {FIFO, FAIR, FAIR_ADMISSION}) {
        auto moderate_outcomes =
            queue_simulation({small, moderate}, policy, options).run();
        print_fairness(
            "large at 0.7", policy.name_, moderate_outcomes["small"]);
        auto overloaded_outcomes =
            queue_simulation({small, overload}, policy, options).run();
        print_fairness(
            "large at 3", policy.name_, overloaded_outcomes["small"]);
    }
}

} // namespace monsoondock::routing_bench
