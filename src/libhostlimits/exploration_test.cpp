#include "../libbase/first_violation_test.hpp"

#include <monsoondock/hostlimits/host_limit.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
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
constexpr milliseconds simulated_time = 60s;
// Figures of the users' rule: a host gets in a window at most excess times what
// its limit allows, and a few requests more, from daemons that it has told some
// time before, from settle_time after it first named the limit.
constexpr milliseconds window = 4s;
constexpr milliseconds told_before = 500ms;
constexpr milliseconds settle_time = 3s;
constexpr double excess = 1.5;
constexpr int further_requests = 5;
// Time until a daemon has noticed that another one was started or has ended.
constexpr milliseconds membership_lag = 1500ms;
constexpr milliseconds exchange_period = 1000ms;
constexpr milliseconds response_time = 100ms;
constexpr double message_loss = 0.05;
// Requests in a step that all daemons together would send, beside bursts.
constexpr double tries_per_step = 2;
constexpr double disturbances_per_step = 0.003;
constexpr std::array<double, 4> limits{0.3, 1.5, 5, 40};
const base::host_id limited_host{"limited"};


enum class variant
{
    correct,
    /// Injected fault: every daemon uses the whole limit.
    whole_limit_each,
    /// Injected fault: all daemons have a share, and each may send a request at
    /// once after it was idle.
    all_daemons_share,
    /// Injected fault: no daemon has a share.
    nobody_sends
};


/// Simulation of daemons that prefer a host with a limit whenever they may send
/// it a request, and that are restarted or cut off.
class simulation
{
public:
    simulation(std::uint64_t seed, std::size_t daemons, variant v)
        : variant_(v), random_(seed), daemons_(daemons),
          per_second_(limits[random_below(limits.size())])
    {
        for (std::size_t i = 0; i < daemons; ++i)
            names_.push_back({"d" + std::to_string(i)});
        known_ = names_;
        for (daemon& d : daemons_)
            d.excused_until_ = -1s;
    }

    std::optional<std::string> run()
    {
        for (; now_ < simulated_time; now_ += step) {
            disturb();
            deliver();
            const bool burst = now_ % 5000ms == 0ms;
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                if (burst || happens(tries_per_step / double(daemons_.size())))
                    try_to_send(i);
                exchange(i);
            }
            if (exceeds_limit())
                return "the host gets more than its limit allows";
        }
        const double accepted =
            per_second_ * double(simulated_time.count()) / 1000;
        if (double(total_) < std::min(accepted, double(tries_)) / 4)
            return "the host gets much less than it accepts";
        return std::nullopt;
    }

private:
    struct daemon
    {
        host_limit limit_;
        std::optional<milliseconds> told_at_;
        milliseconds cut_until_{0};
        milliseconds excused_until_{0};
        milliseconds next_exchange_{0};
    };

    struct message
    {
        milliseconds due_{0};
        std::size_t to_ = 0;
        base::time_point stated_at_;
        /// True for a response of the host.
        bool response_ = false;
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
        if (happens(disturbances_per_step)) {
            daemon& d = daemons_[random_below(daemons_.size())];
            d = {};
            d.excused_until_ = now_ + settle_time;
        }
        if (happens(disturbances_per_step)) {
            daemon& d = daemons_[random_below(daemons_.size())];
            d.cut_until_ = now_ + milliseconds(500 + random_below(5000));
            d.excused_until_ = d.cut_until_ + settle_time;
        }
        if (now_ % membership_lag == 0ms)
            update_members();
    }

    // Daemons that are cut off are taken for dead, and those have all others
    // for dead.
    void update_members()
    {
        known_.clear();
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            if (now_ >= daemons_[i].cut_until_)
                known_.push_back(names_[i]);
        }
        for (std::size_t i = 0; i < daemons_.size(); ++i)
            update_share(i);
    }

    void update_share(std::size_t i)
    {
        daemon& d = daemons_[i];
        if (!is_limited(d.limit_, clock()))
            return;
        std::vector<base::daemon_id> others;
        if (now_ >= d.cut_until_)
            others = known_;
        std::erase(others, names_[i]);
        double share =
            share_of_limit(per_second_, limited_host, names_[i], others);
        if (variant_ == variant::whole_limit_each)
            share = per_second_;
        if (variant_ == variant::all_daemons_share)
            share = per_second_ / double(others.size() + 1);
        if (variant_ == variant::nobody_sends)
            share = 0;
        set_share(d.limit_, share, clock());
    }

    void state(std::size_t i, base::time_point at)
    {
        if (state_limit(daemons_[i].limit_, per_second_, at))
            update_share(i);
    }

    void send(std::size_t from, std::size_t to, base::time_point stated_at)
    {
        const bool cut =
            now_ < daemons_[from].cut_until_ || now_ < daemons_[to].cut_until_;
        if (from != to && !cut && !happens(message_loss))
            messages_.push_back({now_ + step, to, stated_at, false});
    }

    void deliver()
    {
        std::deque<message> due;
        std::erase_if(messages_, [&](const message& m) {
            if (m.due_ > now_)
                return false;
            due.push_back(m);
            return true;
        });
        for (const message& m : due) {
            daemon& d = daemons_[m.to_];
            const bool is_news = !is_limited(d.limit_, clock());
            state(m.to_, m.response_ ? clock() : m.stated_at_);
            if (!m.response_)
                continue;
            if (!d.told_at_)
                d.told_at_ = now_;
            if (!first_named_at_)
                first_named_at_ = now_;
            for (std::size_t to = 0; is_news && to < daemons_.size(); ++to)
                send(m.to_, to, clock());
        }
    }

    void try_to_send(std::size_t i)
    {
        daemon& d = daemons_[i];
        ++tries_;
        if (!may_send(d.limit_, clock()))
            return;
        if (is_limited(d.limit_, clock()))
            record_send(d.limit_, clock());
        ++total_;
        messages_.push_back({now_ + response_time, i, {}, true});
        const bool counts = first_named_at_ &&
                            now_ >= *first_named_at_ + settle_time &&
                            d.told_at_ && now_ >= *d.told_at_ + told_before &&
                            now_ >= d.excused_until_;
        if (counts)
            counted_.push_back(now_);
    }

    // The first connected daemon repeats what it knows for all others.
    void exchange(std::size_t i)
    {
        daemon& d = daemons_[i];
        if (now_ < d.next_exchange_ || !is_limited(d.limit_, clock()))
            return;
        d.next_exchange_ = now_ + exchange_period;
        std::size_t first = 0;
        while (first + 1 < daemons_.size() && now_ < daemons_[first].cut_until_)
            ++first;
        if (i != first) {
            send(i, first, d.limit_.stated_at_);
            return;
        }
        for (std::size_t to = 0; to < daemons_.size(); ++to)
            send(i, to, d.limit_.stated_at_);
    }

    bool exceeds_limit()
    {
        while (!counted_.empty() && counted_.front() <= now_ - window)
            counted_.pop_front();
        const double seconds = double(window.count()) / 1000;
        return double(counted_.size()) >
               excess * per_second_ * seconds + further_requests;
    }

    variant variant_;
    std::mt19937_64 random_;
    std::vector<daemon> daemons_;
    std::vector<base::daemon_id> names_;
    std::vector<base::daemon_id> known_;
    double per_second_;
    std::deque<message> messages_;
    std::deque<milliseconds> counted_;
    std::optional<milliseconds> first_named_at_;
    milliseconds now_{0};
    std::size_t total_ = 0;
    std::size_t tries_ = 0;
};


std::optional<std::string>
explore(std::uint64_t seeds, std::size_t daemons, variant v)
{
    return base::first_violation(seeds, [&](std::uint64_t seed) {
        return simulation(seed, daemons, v).run();
    });
}

} // namespace

// Guards against sending a host its usual share of requests although it has
// named a limit in its responses.
Test(host_limit_exploration, a_host_gets_no_more_than_it_accepts)
{
    cr_assert_not(explore(200, 4, variant::correct));
}


Test(host_limit_exploration, the_same_with_91_daemons)
{
    cr_assert_not(explore(30, 91, variant::correct));
}


Test(host_limit_exploration, the_same_with_195_daemons)
{
    cr_assert_not(explore(20, 195, variant::correct));
}


Test(host_limit_exploration, the_same_with_466_daemons)
{
    cr_assert_not(explore(10, 466, variant::correct));
}


Test(host_limit_exploration, finds_daemons_that_use_the_whole_limit_each)
{
    cr_assert(explore(20, 4, variant::whole_limit_each));
}


Test(host_limit_exploration, finds_a_limit_shared_by_all_daemons)
{
    cr_assert(explore(20, 195, variant::all_daemons_share));
}


Test(host_limit_exploration, finds_a_host_that_gets_nothing)
{
    cr_assert(explore(20, 4, variant::nobody_sends));
}
