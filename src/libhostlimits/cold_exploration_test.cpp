#include "../libbase/first_violation_test.hpp"

#include <monsoondock/hostlimits/host_limit.hpp>

#include <criterion/criterion.h>

#include <deque>
#include <optional>
#include <random>
#include <string>

using namespace monsoondock;
using namespace monsoondock::hostlimits;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds step = 20ms;
constexpr milliseconds simulated_time = 40s;
// Figures of the users' rule: while it is cold, a host gets in any one second
// at most excess times what its limit allows, and a few requests more.
constexpr double per_second = 23;
constexpr double excess = 1.5;
constexpr int further_requests = 5;
constexpr milliseconds window = 1s;
// A daemon that has been started has no share for this time.
constexpr milliseconds acquaintance_time = 10s;
constexpr milliseconds membership_period = 1s;
// Partitions heal within this time.
constexpr milliseconds longest_partition = 8s;
constexpr std::size_t max_sides = 4;
constexpr double restarts_per_step_and_daemon = 0.0008;
constexpr double partitions_per_step = 0.004;
const base::host_id cold_host{"cold"};


enum class variant
{
    correct,
    /// Injected fault: every daemon takes the whole limit.
    whole_limit_each,
    /// Injected fault: the limit is divided among the daemons alive, so that
    /// each side of a partition takes the whole.
    divided_among_the_living,
    /// Injected fault: a started daemon takes a share before it knows others.
    share_at_start
};


/// Simulation of daemons that send a cold host as much as they may, while some
/// are restarted and some are cut off from each other.
class simulation
{
public:
    simulation(std::uint64_t seed, std::size_t daemons, variant v)
        : variant_(v), random_(seed), daemons_(daemons)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            names_.push_back({"d" + std::to_string(i)});
            daemons_[i].known_.assign(daemons, true);
            daemons_[i].started_at_ = -acquaintance_time;
        }
        for (std::size_t i = 0; i < daemons; ++i)
            update(i);
    }

    std::optional<std::string> run()
    {
        for (; now_ < simulated_time; now_ += step) {
            disturb();
            for (daemon& d : daemons_)
                send_all(d);
            if (exceeds_limit())
                return "a cold host gets more than it accepts";
        }
        const double seconds = double(simulated_time.count()) / 1000;
        const double shares = std::min<double>(double(daemons_.size()), 7) / 7;
        if (double(total_) < per_second * seconds * shares / 4)
            return "a cold host gets much less than it accepts";
        return std::nullopt;
    }

private:
    struct daemon
    {
        host_limit limit_;
        /// Daemons that it has known since its start.
        std::vector<bool> known_;
        milliseconds started_at_{0};
        /// Side of the partition; all are on side 0 when there is none.
        std::size_t side_ = 0;
    };

    std::size_t random_below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    base::time_point clock() const
    {
        return base::time_point(1h + now_);
    }

    void disturb()
    {
        if (happens(restarts_per_step_and_daemon * double(daemons_.size()))) {
            const std::size_t i = random_below(daemons_.size());
            daemon& d = daemons_[i];
            const std::size_t side = d.side_;
            d = {};
            d.known_.assign(daemons_.size(), false);
            d.started_at_ = now_;
            d.side_ = side;
            update(i);
        }
        if (now_ >= healed_at_ && happens(partitions_per_step)) {
            const std::size_t sides = 2 + random_below(max_sides - 1);
            for (daemon& d : daemons_)
                d.side_ = random_below(sides);
            healed_at_ = now_ + longest_partition;
        }
        if (now_ == healed_at_) {
            for (daemon& d : daemons_)
                d.side_ = 0;
        }
        if (now_ % membership_period == 0ms) {
            for (std::size_t i = 0; i < daemons_.size(); ++i)
                update(i);
        }
    }

    // A daemon knows those on its side, and those that it has known before.
    void update(std::size_t i)
    {
        daemon& d = daemons_[i];
        std::vector<base::daemon_id> others;
        for (std::size_t k = 0; k < daemons_.size(); ++k) {
            const bool alive = daemons_[k].side_ == d.side_;
            d.known_[k] = d.known_[k] || alive;
            const bool counts = variant_ == variant::divided_among_the_living
                                    ? alive
                                    : d.known_[k];
            if (k != i && counts && now_ > d.started_at_)
                others.push_back(names_[k]);
        }
        double share =
            share_of_cold_limit(per_second, cold_host, names_[i], others);
        if (variant_ == variant::whole_limit_each)
            share = per_second;
        if (variant_ != variant::share_at_start &&
            now_ < d.started_at_ + acquaintance_time)
            share = 0;
        limit_until(d.limit_, per_second, clock() + 10s, clock());
        set_share(d.limit_, share, clock());
    }

    void send_all(daemon& d)
    {
        while (may_send(d.limit_, clock())) {
            record_send(d.limit_, clock());
            sent_.push_back(now_);
            ++total_;
        }
    }

    bool exceeds_limit()
    {
        while (!sent_.empty() && sent_.front() <= now_ - window)
            sent_.pop_front();
        return double(sent_.size()) > excess * per_second + further_requests;
    }

    variant variant_;
    std::mt19937_64 random_;
    std::vector<daemon> daemons_;
    std::vector<base::daemon_id> names_;
    std::deque<milliseconds> sent_;
    milliseconds now_{0};
    milliseconds healed_at_{0};
    std::size_t total_ = 0;
};


std::optional<std::string>
explore(std::uint64_t seeds, std::size_t daemons, variant v)
{
    return base::first_violation(seeds, [&](std::uint64_t seed) {
        return simulation(seed, daemons, v).run();
    });
}

} // namespace

// Guards against sending a cold host more than it accepts, by daemons that do
// not know each other's requests, of which some are restarted or cut off.
Test(cold_exploration, a_cold_host_gets_no_more_than_it_accepts)
{
    cr_assert_not(explore(100, 4, variant::correct));
}


Test(cold_exploration, the_same_with_58_daemons)
{
    cr_assert_not(explore(20, 58, variant::correct));
}


Test(cold_exploration, the_same_with_195_daemons)
{
    cr_assert_not(explore(6, 195, variant::correct));
}


Test(cold_exploration, the_same_with_466_daemons)
{
    cr_assert_not(explore(2, 466, variant::correct));
}


Test(cold_exploration, finds_daemons_that_take_the_whole_limit_each)
{
    cr_assert(explore(20, 4, variant::whole_limit_each));
}


Test(cold_exploration, finds_a_limit_divided_among_the_living)
{
    cr_assert(explore(20, 58, variant::divided_among_the_living));
}


Test(cold_exploration, finds_shares_of_daemons_that_know_too_few_others)
{
    cr_assert(explore(20, 58, variant::share_at_start));
}
