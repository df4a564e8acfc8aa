#include "experiments.hpp"
#include "statistics.hpp"
#include "timeline.hpp"

#include <monsoondock/routing/shared_limit.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace monsoondock::routing_bench {

namespace {

constexpr int DAEMONS = 8;
constexpr double RATE_PER_SECOND = 100;
constexpr double DEMAND_PER_SECOND = 300;
constexpr double SHARE_OF_BUSIEST = 0.9;
constexpr std::chrono::milliseconds REPORT_PERIOD{200};
constexpr std::chrono::milliseconds REPORT_DELAY{100};


struct sharing_policy
{
    const char* name_;
    bool share_ = true;
    routing::shared_limit_options sharing_;
};


// Eight daemons with one workspace's limit and a demand that moves.
class limited_load
{
public:
    limited_load(
        const sharing_policy& policy,
        std::chrono::seconds move_period,
        const run_options& options)
        : policy_(policy), move_period_(move_period), options_(options),
          random_(options.seed_)
    {
        for (int d = 0; d < DAEMONS; ++d)
            limits_.emplace_back(
                base::daemon_id{std::to_string(d)},
                RATE_PER_SECOND,
                DAEMONS,
                base::time_point(),
                policy.sharing_);
        per_window_.resize(options.length_ / move_period + 1);
    }

    void run()
    {
        arrive();
        move();
        if (policy_.share_)
            for (int d = 0; d < DAEMONS; ++d)
                exchange(d);
        time_.run_until(base::time_point(options_.length_));
    }

    double total_error() const
    {
        const double allowed = static_cast<double>(allowed_);
        const auto seconds = static_cast<double>(options_.length_.count());
        return allowed / (RATE_PER_SECOND * seconds) - 1;
    }

    // Largest error of the time between two moves, the first left out.
    double worst_window_error() const
    {
        double worst = 0;
        const auto seconds = static_cast<double>(move_period_.count());
        for (std::size_t i = 1; i + 1 < per_window_.size(); ++i) {
            const double e = static_cast<double>(per_window_[i]) /
                                 (RATE_PER_SECOND * seconds) -
                             1;
            if (std::abs(e) > std::abs(worst))
                worst = e;
        }
        return worst;
    }

private:
    void arrive()
    {
        std::exponential_distribution<double> gap(DEMAND_PER_SECOND);
        time_.in(seconds_to_duration(gap(random_)), [this] {
            ask();
            arrive();
        });
    }

    void ask()
    {
        const bool at_busiest =
            std::bernoulli_distribution(SHARE_OF_BUSIEST)(random_);
        const int any =
            std::uniform_int_distribution<int>(0, DAEMONS - 1)(random_);
        const int d = at_busiest ? busiest_ : any;
        if (limits_[d].take(time_.now()).count() != 0)
            return;
        ++allowed_;
        ++per_window_[time_.now().time_since_epoch() / move_period_];
    }

    void move()
    {
        busiest_ = std::uniform_int_distribution<int>(0, DAEMONS - 1)(random_);
        time_.in(move_period_, [this] { move(); });
    }

    void exchange(int d)
    {
        const auto report = limits_[d].report(time_.now());
        time_.in(REPORT_DELAY, [this, d, report] {
            for (int other = 0; other < DAEMONS; ++other)
                if (other != d)
                    limits_[other].receive_report(report, time_.now());
        });
        time_.in(REPORT_PERIOD, [this, d] { exchange(d); });
    }

    sharing_policy policy_;
    std::chrono::seconds move_period_;
    run_options options_;
    std::mt19937_64 random_;
    timeline time_;
    std::vector<routing::shared_limit> limits_;
    std::vector<long> per_window_;
    long allowed_ = 0;
    int busiest_ = 0;
};

} // namespace


void compare_limits(const run_options& options)
{
    routing::shared_limit_options no_credit;
    no_credit.max_credit_ = std::chrono::milliseconds(0);
    const std::vector<sharing_policy> policies{
        {"even split", false, {}},
        {"by demand", true, no_credit},
        {"by demand, errors made good", true, {}},
    };
    std::printf("\nerror of the allowed rate, demand three times the rate\n\n");
    std::printf("| policy | demand moves every s | total %% | worst period %% "
                "|\n| --- | --- | --- | --- |\n");
    for (const sharing_policy& policy : policies)
        for (const int period : {10, 20, 60}) {
            limited_load load(policy, std::chrono::seconds(period), options);
            load.run();
            std::printf(
                "| %s | %d | %+.1f | %+.1f |\n",
                policy.name_,
                period,
                100 * load.total_error(),
                100 * load.worst_window_error());
        }
}

} // namespace monsoondock::routing_bench
