#include "../libbase/first_violation_test.hpp"

#include <monsoondock/relay/retry_limiter.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <random>
#include <string>

using namespace monsoondock;
using namespace monsoondock::relay;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t seed_count = 300;
constexpr unsigned daemon_count = 8;
constexpr milliseconds step = 50ms;
constexpr milliseconds simulated_time = 60s;
constexpr retry_limit limit{10000ms, 0.2, 100, {}};
// All daemons have detected that a daemon is gone after at most this time.
constexpr milliseconds membership_lag = 1500ms;
// Maximum number of retries that a request makes while its upstreams fail.
constexpr unsigned max_retries = 2;


enum class variant
{
    correct,
    /// Injected fault: every daemon uses the whole slack.
    slack_not_shared,
    /// Injected fault: a restarted daemon has its share of the slack
    /// immediately, whatever it used before the restart.
    slack_after_restart
};


/// Requests and retries of all daemons in one step.
struct step_counts
{
    double requests_ = 0;
    double retries_ = 0;
};


/// Simulation of daemons that stop and restart while upstreams fail.
class simulation
{
public:
    simulation(std::uint64_t seed, variant v) : variant_(v), random_(seed)
    {
        for (daemon& d : daemons_)
            start(d, true);
    }

    std::optional<std::string> run()
    {
        for (; now_ < simulated_time; now_ += step) {
            change_daemons();
            change_upstreams();
            steps_.emplace_back();
            for (daemon& d : daemons_)
                serve_step(d);
            if (const auto violation = check())
                return violation;
        }
        return std::nullopt;
    }

private:
    struct daemon
    {
        std::optional<retry_limiter> limiter_;
        milliseconds restart_at_{0};
    };

    int random_below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random_);
    }

    base::time_point clock() const
    {
        return base::time_point(1h + now_);
    }

    void start(daemon& d, bool first)
    {
        const bool slack_at_start =
            first || variant_ == variant::slack_after_restart;
        retry_limit daemon_limit = limit;
        if (!slack_at_start)
            daemon_limit.slack_available_from_ = clock() + limit.window_;
        d.limiter_.emplace(daemon_limit);
    }

    void change_daemons()
    {
        for (daemon& d : daemons_) {
            if (!d.limiter_ && now_ >= d.restart_at_)
                start(d, false);
        }
        if (random_below(100) > 0)
            return;
        // Either one daemon stops, or all do, as in a power failure.
        const bool all = random_below(4) == 0;
        const int only = random_below(daemon_count);
        for (int i = 0; i < static_cast<int>(daemon_count); ++i) {
            if (!all && i != only)
                continue;
            daemons_[i].limiter_.reset();
            daemons_[i].restart_at_ =
                now_ + milliseconds(200 + random_below(4000));
        }
        known_daemons_ = daemon_count;
        membership_update_at_ = now_ + membership_lag;
    }

    void change_upstreams()
    {
        if (random_below(60) == 0)
            failing_ = !failing_;
        if (random_below(40) == 0)
            rate_ = 5 + random_below(60);
        if (now_ >= membership_update_at_)
            known_daemons_ = running_daemons();
    }

    unsigned running_daemons() const
    {
        unsigned count = 0;
        for (const daemon& d : daemons_)
            count += d.limiter_ ? 1 : 0;
        return std::max(1U, count);
    }

    void serve_step(daemon& d)
    {
        const int requests =
            std::poisson_distribution<int>(rate_ * 0.05)(random_);
        // Callers send even while their daemon is down; these requests also
        // count.
        steps_.back().requests_ += requests;
        if (!d.limiter_)
            return;
        const unsigned sharing_daemons =
            variant_ == variant::slack_not_shared ? 1 : known_daemons_;
        for (int i = 0; i < requests; ++i) {
            d.limiter_->add_request(clock());
            for (unsigned n = 0; failing_ && n < max_retries; ++n)
                steps_.back().retries_ +=
                    d.limiter_->take_retry(sharing_daemons, clock()) ? 1 : 0;
        }
    }

    static step_counts
    sum(const std::deque<step_counts>& steps, long begin, long end)
    {
        step_counts result;
        for (long i = std::max(0L, begin); i < end; ++i) {
            result.requests_ += steps[static_cast<std::size_t>(i)].requests_;
            result.retries_ += steps[static_cast<std::size_t>(i)].retries_;
        }
        return result;
    }

    // Required limit: the retries of a window are compared with the largest
    // number of requests in that window, the previous window and the window
    // that ends half a window earlier.
    std::optional<std::string> check() const
    {
        const long width = limit.window_ / step;
        const long end = static_cast<long>(steps_.size());
        const step_counts window = sum(steps_, end - width, end);
        const double requests = std::max(
            {window.requests_,
             sum(steps_, end - 2 * width, end - width).requests_,
             sum(steps_, end - width * 3 / 2, end - width / 2).requests_});
        const double allowed = limit.ratio_ * requests + limit.slack_;
        if (window.retries_ <= allowed)
            return std::nullopt;
        return std::to_string(window.retries_) + " retries where " +
               std::to_string(allowed) + " are allowed";
    }

    variant variant_;
    std::mt19937_64 random_;
    std::array<daemon, daemon_count> daemons_;
    milliseconds now_{0};
    milliseconds membership_update_at_{0};
    unsigned known_daemons_ = daemon_count;
    bool failing_ = false;
    double rate_ = 20;
    std::deque<step_counts> steps_;
};


std::optional<std::string> explore(variant v)
{
    return base::first_violation(seed_count, [v](std::uint64_t seed) {
        return simulation(seed, v).run();
    });
}

} // namespace

Test(retry_limiter_exploration, retries_stay_within_the_limit_of_all_daemons)
{
    const auto violation = explore(variant::correct);
    cr_assert(!violation, "%s", violation ? violation->c_str() : "none");
}


Test(retry_limiter_exploration, detects_slack_that_is_not_shared)
{
    cr_assert(explore(variant::slack_not_shared).has_value());
}


Test(retry_limiter_exploration, detects_slack_that_a_restart_restores)
{
    cr_assert(explore(variant::slack_after_restart).has_value());
}
