#include "event_scheduler.hpp"
#include "experiments.hpp"
#include "statistics.hpp"

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
constexpr double HOTSPOT_SHARE = 0.9;
constexpr std::chrono::milliseconds REPORT_PERIOD{200};
constexpr std::chrono::milliseconds REPORT_DELAY{100};


struct sharing_policy
{
    const char* name_;
    bool exchanges_reports_ = true;
    routing::shared_limit_options limit_options_;
};


// Simulates eight daemons that enforce one workspace's rate limit together
// while most of the demand moves between them.
class rate_limit_simulation
{
public:
    rate_limit_simulation(
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
                policy.limit_options_);
        per_window_.resize(options.length_ / move_period + 1);
    }

    void run()
    {
        schedule_arrival();
        move_hotspot();
        if (policy_.exchanges_reports_)
            for (int d = 0; d < DAEMONS; ++d)
                send_report(d);
        scheduler_.run_until(base::time_point(options_.length_));
    }

    double total_error() const
    {
        const double allowed = static_cast<double>(allowed_);
        const auto seconds = static_cast<double>(options_.length_.count());
        return allowed / (RATE_PER_SECOND * seconds) - 1;
    }

    // Largest relative error over the periods between two moves, without the
    // first and the last.
    double worst_window_error() const
    {
        double worst = 0;
        const auto seconds = static_cast<double>(move_period_.count());
        for (std::size_t i = 1; i + 1 < per_window_.size(); ++i) {
            const double error = static_cast<double>(per_window_[i]) /
                                     (RATE_PER_SECOND * seconds) -
                                 1;
            if (std::abs(error) > std::abs(worst))
                worst = error;
        }
        return worst;
    }

private:
    void schedule_arrival()
    {
        std::exponential_distribution<double> gap(DEMAND_PER_SECOND);
        scheduler_.run_after(seconds_to_duration(gap(random_)), [this] {
            send_request();
            schedule_arrival();
        });
    }

    void send_request()
    {
        const bool at_hotspot =
            std::bernoulli_distribution(HOTSPOT_SHARE)(random_);
        const int uniform_choice =
            std::uniform_int_distribution<int>(0, DAEMONS - 1)(random_);
        const int d = at_hotspot ? hotspot_ : uniform_choice;
        if (limits_[d].take(scheduler_.now()).count() != 0)
            return;
        ++allowed_;
        ++per_window_[scheduler_.now().time_since_epoch() / move_period_];
    }

    void move_hotspot()
    {
        hotspot_ = std::uniform_int_distribution<int>(0, DAEMONS - 1)(random_);
        scheduler_.run_after(move_period_, [this] { move_hotspot(); });
    }

    void send_report(int d)
    {
        const auto report = limits_[d].report(scheduler_.now());
        scheduler_.run_after(REPORT_DELAY, [this, d, report] {
            for (int other = 0; other < DAEMONS; ++other)
                if (other != d)
                    limits_[other].receive_report(report, scheduler_.now());
        });
        scheduler_.run_after(REPORT_PERIOD, [this, d] { send_report(d); });
    }

    sharing_policy policy_;
    std::chrono::seconds move_period_;
    run_options options_;
    std::mt19937_64 random_;
    event_scheduler scheduler_;
    std::vector<routing::shared_limit> limits_;
    std::vector<long> per_window_;
    long allowed_ = 0;
    int hotspot_ = 0;
};

} // namespace


void compare_limits(const run_options& options)
{
    routing::shared_limit_options no_credit;
    no_credit.max_credit_ = std::chrono::milliseconds(0);
    const std::vector<sharing_policy> policies{
        {"even split", false, {}},
        {"by demand", true, no_credit},
        {"by demand, errors compensated", true, {}},
    };
    std::printf("\nerror of the allowed rate, demand three times the rate\n\n");
    std::printf("| policy | demand moves every s | total %% | worst period %% "
                "|\n| --- | --- | --- | --- |\n");
    for (const sharing_policy& policy : policies)
        for (const int period : {10, 20, 60}) {
            rate_limit_simulation simulation(
                policy, std::chrono::seconds(period), options);
            simulation.run();
            std::printf(
                "| %s | %d | %+.1f | %+.1f |\n",
                policy.name_,
                period,
                100 * simulation.total_error(),
                100 * simulation.worst_window_error());
        }
}

} // namespace monsoondock::routing_bench
