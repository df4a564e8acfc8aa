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

/// Parameters of a simulated fleet whose daemons choose upstreams by the loads
/// that their peers last reported.
struct fleet
{
    unsigned daemons_ = 82;
    unsigned upstreams_ = 53;
    unsigned slots_ = 15;
    double arrivals_per_second_ = 450;
    milliseconds service_time_{1050};
};


struct arrival_counts
{
    unsigned total_ = 0;
    /// Requests that found every slot of their upstream in use.
    unsigned waiting_ = 0;
};


struct completion
{
    milliseconds at_;
    std::size_t daemon_ = 0;
    std::size_t upstream_ = 0;

    friend bool operator>(const completion& a, const completion& b)
    {
        return a.at_ > b.at_;
    }
};


/// Simulation of daemons that send for 20 s and report their loads in turn.
class simulation
{
public:
    simulation(const fleet& f, bool include_unreported)
        : fleet_(f), include_unreported_(include_unreported),
          upstream_tables_(f.daemons_), running_(f.upstreams_)
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
            fleet_.arrivals_per_second_ / 1000);
        double next = gap(random_);
        for (milliseconds now{0}; now < milliseconds(20000); ++now) {
            complete_due(now);
            report_loads(now);
            for (; next < double(now.count()); next += gap(random_))
                arrive(now);
        }
        return counts_;
    }

private:
    void complete_due(milliseconds now)
    {
        for (; !completions_.empty() && completions_.top().at_ <= now;
             completions_.pop()) {
            const completion& e = completions_.top();
            --running_[e.upstream_];
            --upstream_tables_[e.daemon_]
                  .state_of(all_[e.upstream_].host_)
                  .in_flight_;
        }
    }

    void report_loads(milliseconds now)
    {
        const auto period = load_report_period(fleet_.daemons_).count();
        for (std::size_t d = 0; d < upstream_tables_.size(); ++d) {
            if ((now.count() + static_cast<long>(d) * 37) % period != 0)
                continue;
            const auto loads = upstream_tables_[d].local_loads();
            for (std::size_t other = 0; other < upstream_tables_.size();
                 ++other) {
                if (other != d)
                    upstream_tables_[other].set_peer_loads(
                        {"daemon-" + std::to_string(d)}, loads);
            }
        }
    }

    void arrive(milliseconds now)
    {
        const std::size_t daemon = random_() % upstream_tables_.size();
        choice_request request{"m", {}, {}, {}, uniform_(random_)};
        if (include_unreported_)
            request.unreported_requests_ =
                fleet_.arrivals_per_second_ *
                std::chrono::duration<double>(
                    load_report_period(fleet_.daemons_))
                    .count();
        const std::size_t u =
            *choose_upstream(all_, upstream_tables_[daemon], request);
        ++counts_.total_;
        if (running_[u] >= fleet_.slots_)
            ++counts_.waiting_;
        ++running_[u];
        ++upstream_tables_[daemon].state_of(all_[u].host_).in_flight_;
        completions_.push({now + fleet_.service_time_, daemon, u});
    }

    fleet fleet_;
    bool include_unreported_;
    std::vector<upstream> all_;
    std::vector<upstream_table> upstream_tables_;
    std::vector<unsigned> running_;
    std::priority_queue<completion, std::vector<completion>, std::greater<>>
        completions_;
    std::mt19937_64 random_{1};
    std::uniform_real_distribution<double> uniform_;
    arrival_counts counts_;
};


double waiting_share(const fleet& f, bool include_unreported)
{
    const arrival_counts counts = simulation(f, include_unreported).run();
    const double share = double(counts.waiting_) / counts.total_;
    std::printf(
        "daemons=%u upstreams=%u unreported=%s arrivals=%u waiting=%.4f\n",
        f.daemons_,
        f.upstreams_,
        include_unreported ? "counted" : "ignored",
        counts.total_,
        share);
    return share;
}


// With 60 % of the slots in use on average, hardly any request should wait.
constexpr double max_waiting_share = 0.01;

} // namespace

Test(many_daemons, choices_by_outdated_loads_do_not_overload_the_least_loaded)
{
    cr_assert_leq(waiting_share({}, true), max_waiting_share);
}


Test(many_daemons, always_choosing_the_least_loaded_overloads_it)
{
    cr_assert_gt(waiting_share({}, false), max_waiting_share);
}


Test(many_daemons, few_daemons_balance_the_load_too)
{
    const fleet few{8, 20, 17, 200, milliseconds(1050)};
    cr_assert_leq(waiting_share(few, true), max_waiting_share);
}
