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
constexpr milliseconds play_time = 60s;
constexpr retry_limit limit{10000ms, 0.2, 100, {}};
// A death is known everywhere after at most this time.
constexpr milliseconds membership_lag = 1500ms;
// Sends that a request wants at most while its upstreams fail.
constexpr unsigned wanted_repeats = 2;


enum class variant
{
    correct,
    /// Broken on purpose: every daemon takes the whole slack.
    slack_not_shared,
    /// Broken on purpose: a daemon that starts again begins with its share of
    /// the slack, whatever it used before.
    slack_at_once
};


/// What all daemons did in one step.
struct step_sums
{
    double requests_ = 0;
    double repeats_ = 0;
};


/// Daemons that come and go while upstreams fail.
class world
{
public:
    world(std::uint64_t seed, variant v) : variant_(v), random_(seed)
    {
        for (daemon& d : daemons_)
            start(d, true);
    }

    std::optional<std::string> explore()
    {
        for (; now_ < play_time; now_ += step) {
            change_daemons();
            change_upstreams();
            done_.emplace_back();
            for (daemon& d : daemons_)
                serve(d);
            if (const auto violation = check())
                return violation;
        }
        return std::nullopt;
    }

private:
    struct daemon
    {
        std::optional<retry_limiter> window_;
        milliseconds back_at_{0};
    };

    int below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random_);
    }

    base::time_point clock() const
    {
        return base::time_point(1h + now_);
    }

    void start(daemon& d, bool first)
    {
        const bool at_once = first || variant_ == variant::slack_at_once;
        retry_limit own = limit;
        if (!at_once)
            own.slack_available_from_ = clock() + limit.window_;
        d.window_.emplace(own);
    }

    void change_daemons()
    {
        for (daemon& d : daemons_) {
            if (!d.window_ && now_ >= d.back_at_)
                start(d, false);
        }
        if (below(100) > 0)
            return;
        // One, or all at once as when the power goes.
        const bool all = below(4) == 0;
        const int only = below(daemon_count);
        for (int i = 0; i < static_cast<int>(daemon_count); ++i) {
            if (!all && i != only)
                continue;
            daemons_[i].window_.reset();
            daemons_[i].back_at_ = now_ + milliseconds(200 + below(4000));
        }
        counted_ = daemon_count;
        recount_at_ = now_ + membership_lag;
    }

    void change_upstreams()
    {
        if (below(60) == 0)
            failing_ = !failing_;
        if (below(40) == 0)
            rate_ = 5 + below(60);
        if (now_ >= recount_at_)
            counted_ = live();
    }

    unsigned live() const
    {
        unsigned count = 0;
        for (const daemon& d : daemons_)
            count += d.window_ ? 1 : 0;
        return std::max(1U, count);
    }

    void serve(daemon& d)
    {
        const int requests =
            std::poisson_distribution<int>(rate_ * 0.05)(random_);
        // Callers send whether their daemon lives or not; all of it counts.
        done_.back().requests_ += requests;
        if (!d.window_)
            return;
        const unsigned sharing =
            variant_ == variant::slack_not_shared ? 1 : counted_;
        for (int i = 0; i < requests; ++i) {
            d.window_->add_request(clock());
            for (unsigned n = 0; failing_ && n < wanted_repeats; ++n)
                done_.back().repeats_ +=
                    d.window_->take_retry(sharing, clock()) ? 1 : 0;
        }
    }

    static step_sums
    sum(const std::deque<step_sums>& steps, long begin, long end)
    {
        step_sums result;
        for (long i = std::max(0L, begin); i < end; ++i) {
            result.requests_ += steps[static_cast<std::size_t>(i)].requests_;
            result.repeats_ += steps[static_cast<std::size_t>(i)].repeats_;
        }
        return result;
    }

    // The users' rule: of the window, the one before and the one half a window
    // before, the one with most requests counts.
    std::optional<std::string> check() const
    {
        const long width = limit.window_ / step;
        const long end = static_cast<long>(done_.size());
        const step_sums here = sum(done_, end - width, end);
        const double requests = std::max(
            {here.requests_,
             sum(done_, end - 2 * width, end - width).requests_,
             sum(done_, end - width * 3 / 2, end - width / 2).requests_});
        const double allowed = limit.ratio_ * requests + limit.slack_;
        if (here.repeats_ <= allowed)
            return std::nullopt;
        return std::to_string(here.repeats_) + " repeats where " +
               std::to_string(allowed) + " are allowed";
    }

    variant variant_;
    std::mt19937_64 random_;
    std::array<daemon, daemon_count> daemons_;
    milliseconds now_{0};
    milliseconds recount_at_{0};
    unsigned counted_ = daemon_count;
    bool failing_ = false;
    double rate_ = 20;
    std::deque<step_sums> done_;
};


std::optional<std::string> explore(variant v)
{
    return base::first_violation(seed_count, [v](std::uint64_t seed) {
        return world(seed, v).explore();
    });
}

} // namespace

Test(retry_limiter_exploration, repeats_stay_within_the_limit_of_all_daemons)
{
    const auto violation = explore(variant::correct);
    cr_assert(!violation, "%s", violation ? violation->c_str() : "none");
}


Test(retry_limiter_exploration, slack_that_is_not_shared_is_caught)
{
    cr_assert(explore(variant::slack_not_shared).has_value());
}


Test(retry_limiter_exploration, slack_that_comes_back_with_a_restart_is_caught)
{
    cr_assert(explore(variant::slack_at_once).has_value());
}
