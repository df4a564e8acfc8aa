#include <monsoondock/relay/choose_upstream.hpp>
#include <monsoondock/relay/proxy_callbacks.hpp>

#include <criterion/criterion.h>

#include <cstdio>
#include <queue>
#include <random>

using namespace monsoondock;
using namespace monsoondock::relay;
using std::chrono::milliseconds;

namespace {

/// A fleet whose daemons choose from what their peers last told.
struct fleet
{
    unsigned daemons_ = 82;
    unsigned upstreams_ = 53;
    unsigned slots_ = 15;
    double arrivals_a_second_ = 450;
    milliseconds service_{1050};
};


struct arrival_counts
{
    unsigned all_ = 0;
    /// Arrivals that found every slot of their upstream taken.
    unsigned waited_ = 0;
};


struct ending
{
    milliseconds at_;
    std::size_t daemon_ = 0;
    std::size_t upstream_ = 0;

    friend bool operator>(const ending& a, const ending& b)
    {
        return a.at_ > b.at_;
    }
};


/// Daemons that send for 20 s and tell their loads in turn.
class play
{
public:
    play(const fleet& f, bool counts_unheard)
        : fleet_(f), counts_unheard_(counts_unheard), boards_(f.daemons_),
          running_(f.upstreams_)
    {
        for (unsigned u = 0; u < f.upstreams_; ++u) {
            upstream group;
            group.host_ = {"host-" + std::to_string(u)};
            group.slots_ = f.slots_;
            group.model_ = "m";
            all_.push_back(group);
        }
    }

    arrival_counts run()
    {
        std::exponential_distribution<double> gap(
            fleet_.arrivals_a_second_ / 1000);
        double next = gap(random_);
        for (milliseconds now{0}; now < milliseconds(20000); ++now) {
            end_due(now);
            tell(now);
            for (; next < double(now.count()); next += gap(random_))
                arrive(now);
        }
        return counts_;
    }

private:
    void end_due(milliseconds now)
    {
        for (; !endings_.empty() && endings_.top().at_ <= now; endings_.pop()) {
            const ending& e = endings_.top();
            --running_[e.upstream_];
            --boards_[e.daemon_].of(all_[e.upstream_].host_).in_flight_;
        }
    }

    void tell(milliseconds now)
    {
        const auto period = load_report_period(fleet_.daemons_).count();
        for (std::size_t d = 0; d < boards_.size(); ++d) {
            if ((now.count() + static_cast<long>(d) * 37) % period != 0)
                continue;
            const auto loads = boards_[d].own_loads();
            for (std::size_t other = 0; other < boards_.size(); ++other) {
                if (other != d)
                    boards_[other].set_peer_loads(
                        {"daemon-" + std::to_string(d)}, loads);
            }
        }
    }

    void arrive(milliseconds now)
    {
        const std::size_t daemon = random_() % boards_.size();
        choice_request request{"m", {}, {}, {}, uniform_(random_)};
        if (counts_unheard_)
            request.unheard_ = fleet_.arrivals_a_second_ *
                               std::chrono::duration<double>(
                                   load_report_period(fleet_.daemons_))
                                   .count();
        const std::size_t u = *choose_upstream(all_, boards_[daemon], request);
        ++counts_.all_;
        if (running_[u] >= fleet_.slots_)
            ++counts_.waited_;
        ++running_[u];
        ++boards_[daemon].of(all_[u].host_).in_flight_;
        endings_.push({now + fleet_.service_, daemon, u});
    }

    fleet fleet_;
    bool counts_unheard_;
    std::vector<upstream> all_;
    std::vector<upstream_board> boards_;
    std::vector<unsigned> running_;
    std::priority_queue<ending, std::vector<ending>, std::greater<>> endings_;
    std::mt19937_64 random_{1};
    std::uniform_real_distribution<double> uniform_;
    arrival_counts counts_;
};


double waited_share(const fleet& f, bool counts_unheard)
{
    const arrival_counts counts = play(f, counts_unheard).run();
    const double share = double(counts.waited_) / counts.all_;
    std::printf(
        "daemons=%u upstreams=%u unheard=%s arrivals=%u waited=%.4f\n",
        f.daemons_,
        f.upstreams_,
        counts_unheard ? "counted" : "ignored",
        counts.all_,
        share);
    return share;
}


// With six of ten slots busy on average, hardly any request should wait.
constexpr double waited_bound = 0.01;

} // namespace

Test(many_daemons, choices_from_old_news_do_not_flood_the_least_loaded)
{
    cr_assert_leq(waited_share({}, true), waited_bound);
}


Test(many_daemons, taking_the_least_loaded_floods_it)
{
    cr_assert_gt(waited_share({}, false), waited_bound);
}


Test(many_daemons, few_daemons_spread_as_well)
{
    const fleet few{8, 20, 17, 200, milliseconds(1050)};
    cr_assert_leq(waited_share(few, true), waited_bound);
}
