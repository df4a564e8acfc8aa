#include "experiments.hpp"
#include "statistics.hpp"
#include "timeline.hpp"

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
constexpr std::chrono::seconds PATIENCE{5};
constexpr int MAX_RETURNS = 5;


struct workspace_load
{
    const char* name_;
    // Arrivals as a multiple of the capacity.
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
    long given_up_ = 0;
    std::vector<std::chrono::nanoseconds> waits_;
};


// One daemon's queue before a fixed number of servers. A caller gives up after
// its patience; without admission its work is done all the same.
class queued_load
{
public:
    queued_load(
        std::vector<workspace_load> loads,
        queue_policy policy,
        const run_options& options)
        : loads_(std::move(loads)), policy_(policy), options_(options),
          random_(options.seed_), rate_(CAPACITY_TOKENS)
    {}

    std::map<std::string, workspace_outcome> run()
    {
        for (const workspace_load& load : loads_)
            arrive(load);
        if (policy_.admission_)
            expire();
        time_.run_until(base::time_point(options_.length_));
        return std::move(outcomes_);
    }

private:
    struct waiting
    {
        routing::queue_item item_;
        base::time_point asked_at_;
        int returns_ = 0;
    };

    void arrive(const workspace_load& load)
    {
        std::exponential_distribution<double> gap(
            load.load_ * CAPACITY_REQUESTS);
        time_.in(seconds_to_duration(gap(random_)), [this, load] {
            ++outcomes_[load.name_].callers_;
            ask(load.name_, draw_tokens(), 0);
            arrive(load);
        });
    }

    std::uint32_t draw_tokens()
    {
        std::exponential_distribution<double> tokens(1 / MEAN_TOKENS);
        return 1 + static_cast<std::uint32_t>(tokens(random_));
    }

    void ask(const std::string& workspace, std::uint32_t tokens, int returns)
    {
        waiting w;
        w.item_.request_ = {std::to_string(++asked_)};
        w.item_.workspace_ = {workspace};
        w.item_.cost_ = tokens;
        w.item_.deadline_ = time_.now() + PATIENCE;
        w.asked_at_ = time_.now();
        w.returns_ = returns;
        if (policy_.admission_ && refuses(w))
            return;
        if (policy_.fair_)
            queue_.push(w.item_);
        else
            line_.push_back(w.item_.request_);
        waiting_[w.item_.request_] = w;
        if (!policy_.admission_)
            time_.in(PATIENCE, [this, w] { lose_patience(w); });
        start_next();
    }

    bool refuses(const waiting& w)
    {
        const auto decision = routing::decide_admission(
            queue_, w.item_, rate_.per_second(), time_.now(), random_);
        const auto* r = std::get_if<routing::refused>(&decision);
        if (!r)
            return false;
        ++outcomes_[w.item_.workspace_.value_].refused_;
        come_back(w, r->retry_after_);
        return true;
    }

    void come_back(const waiting& w, std::chrono::nanoseconds wait)
    {
        if (w.returns_ >= MAX_RETURNS) {
            ++outcomes_[w.item_.workspace_.value_].given_up_;
            return;
        }
        time_.in(wait, [this, w] {
            ask(w.item_.workspace_.value_, w.item_.cost_, w.returns_ + 1);
        });
    }

    // The caller asks again; what it asked for before stays in the queue.
    void lose_patience(const waiting& w)
    {
        const auto found = waiting_.find(w.item_.request_);
        if (found != waiting_.end())
            come_back(w, std::chrono::nanoseconds(0));
    }

    void expire()
    {
        for (const auto& item : queue_.expire(time_.now())) {
            const waiting w = waiting_.at(item.request_);
            waiting_.erase(item.request_);
            come_back(w, std::chrono::seconds(1));
        }
        time_.in(std::chrono::milliseconds(20), [this] { expire(); });
    }

    std::optional<routing::queue_item> take_next()
    {
        if (policy_.fair_)
            return queue_.pop(time_.now());
        if (line_.empty())
            return std::nullopt;
        const auto item = waiting_.at(line_.front()).item_;
        line_.pop_front();
        return item;
    }

    void start_next()
    {
        while (busy_ < SERVERS) {
            const auto item = take_next();
            if (!item)
                return;
            const waiting w = waiting_.at(item->request_);
            waiting_.erase(item->request_);
            begin(w);
        }
    }

    void begin(const waiting& w)
    {
        ++busy_;
        rate_.drained(w.item_.cost_, time_.now());
        auto& o = outcomes_[w.item_.workspace_.value_];
        const auto wait = time_.now() - w.asked_at_;
        o.waits_.push_back(wait);
        if (wait <= PATIENCE) {
            ++o.in_time_;
            o.tokens_in_time_ += w.item_.cost_;
        }
        const double seconds = w.item_.cost_ / SERVER_TOKENS_PER_SECOND;
        time_.in(seconds_to_duration(seconds), [this] {
            --busy_;
            start_next();
        });
    }

    std::vector<workspace_load> loads_;
    queue_policy policy_;
    run_options options_;
    std::mt19937_64 random_;
    timeline time_;
    routing::fair_queue queue_;
    std::deque<base::request_id> line_;
    std::map<base::request_id, waiting> waiting_;
    routing::drain_rate rate_;
    int busy_ = 0;
    long asked_ = 0;
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
        o.given_up_);
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
                "callers given up |\n");
    std::printf("| --- | --- | --- | --- | --- | --- |\n");
    const auto seconds = static_cast<double>(options.length_.count());
    for (const queue_policy& policy : {FIFO, FAIR, FAIR_ADMISSION})
        for (const double load : {0.8, 1.0, 1.5, 2.0, 3.0}) {
            auto outcomes = queued_load({{"w", load}}, policy, options).run();
            print_overload(policy.name_, load, outcomes["w"], seconds);
        }
}


void compare_fairness(const run_options& options)
{
    std::printf("\nwait of the small workspace\n\n");
    std::printf("| load | policy | callers | p50 ms | p99 ms | refusals |\n");
    std::printf("| --- | --- | --- | --- | --- | --- |\n");
    const workspace_load small{"small", 0.05};
    const workspace_load usual{"large", 0.7};
    const workspace_load flood{"large", 3};
    for (const queue_policy& policy : {FIFO, FAIR, FAIR_ADMISSION}) {
        auto quiet = queued_load({small, usual}, policy, options).run();
        print_fairness("large at 0.7", policy.name_, quiet["small"]);
        auto flooded = queued_load({small, flood}, policy, options).run();
        print_fairness("large at 3", policy.name_, flooded["small"]);
    }
}

} // namespace monsoondock::routing_bench
