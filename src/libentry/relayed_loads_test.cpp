// Many daemons that choose upstreams at the same time by loads that were
// reported a while ago: directly to each other in a small cluster, through
// relays that sum them up in one of hundreds of daemons.

#include "load_exchange.hpp"

#include <monsoondock/relay/choose_upstream.hpp>

#include <criterion/criterion.h>

#include <cstdio>
#include <queue>
#include <random>

using namespace monsoondock;
using std::chrono::milliseconds;

namespace {

const base::time_point origin{std::chrono::hours(1)};


/// Parameters of a simulated cluster.
struct cluster
{
    unsigned data_centres_ = 5;
    unsigned daemons_per_data_centre_ = 39;
    unsigned upstreams_per_data_centre_ = 15;
    unsigned slots_ = 14;
    double arrivals_per_second_ = 740;
    milliseconds service_time_{850};
    /// Share of the callers of data centre 0 that have moved to data centre 1.
    double moved_callers_ = 0;
};


enum class knowledge
{
    /// Loads that daemons have reported to each other.
    direct,
    /// Loads that the relays have summed up.
    relayed,
    /// The same, without regard to the requests that are not in them yet.
    relayed_only,
    /// Present loads, as if there were one daemon.
    complete
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


class simulation
{
public:
    simulation(const cluster& c, knowledge k)
        : cluster_(c), knowledge_(k),
          tables_(c.data_centres_ * c.daemons_per_data_centre_),
          reported_(tables_.size()), exchanges_(c.data_centres_)
    {
        for (unsigned d = 0; d < c.data_centres_; ++d) {
            for (unsigned u = 0; u < c.upstreams_per_data_centre_; ++u) {
                relay::upstream group;
                group.host_ = {std::to_string(d) + "-" + std::to_string(u)};
                group.data_centre_ = {std::to_string(d)};
                group.slots_ = c.slots_;
                group.model_ = "m";
                all_.push_back(group);
            }
        }
        running_.resize(all_.size());
    }


    /// Returns the share of requests that found every slot of their upstream in
    /// use.
    double waiting_share()
    {
        std::exponential_distribution<double> gap(
            cluster_.arrivals_per_second_ / 1000);
        double next = gap(random_);
        unsigned total = 0;
        unsigned waiting = 0;
        for (milliseconds now{0}; now < milliseconds(10000); ++now) {
            complete_due(now);
            if (knowledge_ != knowledge::complete)
                exchange_loads(now);
            for (; next < double(now.count()); next += gap(random_)) {
                ++total;
                waiting += arrive(now) ? 1 : 0;
            }
        }
        return double(waiting) / total;
    }

private:
    unsigned data_centre_of(std::size_t daemon) const
    {
        return static_cast<unsigned>(
            daemon / cluster_.daemons_per_data_centre_);
    }


    milliseconds period() const
    {
        return knowledge_ == knowledge::direct
                   ? entry::pvt::direct_report_period
                   : entry::pvt::relayed_report_period;
    }


    // Returns the requests that arrive within the age of the known loads.
    double unreported_requests() const
    {
        if (knowledge_ == knowledge::relayed_only)
            return 0;
        const int hops = knowledge_ == knowledge::direct ? 1 : 2;
        return cluster_.arrivals_per_second_ *
               std::chrono::duration<double>(hops * period()).count();
    }


    void complete_due(milliseconds now)
    {
        for (; !completions_.empty() && completions_.top().at_ <= now;
             completions_.pop()) {
            const completion& e = completions_.top();
            --running_[e.upstream_];
            --tables_[e.daemon_].state_of(all_[e.upstream_].host_).in_flight_;
        }
    }


    // Each daemon reports to the relay of its data centre, each relay sends its
    // sum to the others, and all sums to the daemons of its data centre.
    void exchange_loads(milliseconds now)
    {
        for (std::size_t d = 0; d < tables_.size(); ++d) {
            if ((now.count() + static_cast<long>(d) * 37) % period().count())
                continue;
            reported_[d] = tables_[d].local_loads();
            if (knowledge_ == knowledge::direct) {
                send_to_all(d);
                continue;
            }
            exchanges_[data_centre_of(d)].set_daemon(
                {std::to_string(d)}, reported_[d], origin + now);
        }
        if (knowledge_ == knowledge::direct)
            return;
        for (unsigned dc = 0; dc < cluster_.data_centres_; ++dc) {
            if ((now.count() + dc * 53) % period().count() == 0)
                send_sums(dc, origin + now);
        }
    }


    void send_to_all(std::size_t daemon)
    {
        for (std::size_t other = 0; other < tables_.size(); ++other) {
            if (other != daemon)
                tables_[other].set_peer_loads(
                    {std::to_string(daemon)}, reported_[daemon]);
        }
    }


    void send_sums(unsigned dc, base::time_point now)
    {
        const auto own = exchanges_[dc].own_sum(now);
        const auto others = exchanges_[dc].other_sum(now);
        for (unsigned other = 0; other < cluster_.data_centres_; ++other) {
            if (other != dc)
                exchanges_[other].set_data_centre(
                    {std::to_string(dc)}, own, now);
        }
        for (std::size_t d = 0; d < tables_.size(); ++d) {
            if (data_centre_of(d) != dc)
                continue;
            tables_[d].set_peer_loads(
                {"own"}, entry::pvt::subtract(own, reported_[d]));
            tables_[d].set_peer_loads({"others"}, others);
        }
    }


    std::size_t choose_daemon()
    {
        std::size_t d = random_() % tables_.size();
        if (data_centre_of(d) == 0 &&
            uniform_(random_) < cluster_.moved_callers_)
            d += cluster_.daemons_per_data_centre_;
        return d;
    }


    // Returns true when the request has to wait.
    bool arrive(milliseconds now)
    {
        const std::size_t daemon = choose_daemon();
        relay::choice_request request;
        request.model_ = "m";
        request.local_data_centre_ = {std::to_string(data_centre_of(daemon))};
        request.now_ = origin + now;
        request.random_fraction_ = uniform_(random_);
        // All daemons know all present loads when they share one table.
        const bool complete = knowledge_ == knowledge::complete;
        if (!complete)
            request.unreported_requests_ = unreported_requests();
        const std::size_t table = complete ? 0 : daemon;
        const std::size_t u =
            *relay::choose_upstream(all_, tables_[table], request);
        const bool waits = running_[u] >= cluster_.slots_;
        ++running_[u];
        ++tables_[table].state_of(all_[u].host_).in_flight_;
        completions_.push({now + cluster_.service_time_, table, u});
        return waits;
    }

    cluster cluster_;
    knowledge knowledge_;
    std::vector<relay::upstream> all_;
    std::vector<relay::upstream_table> tables_;
    std::vector<entry::pvt::load_table> reported_;
    std::vector<entry::pvt::load_exchange> exchanges_;
    std::vector<unsigned> running_;
    std::priority_queue<completion, std::vector<completion>, std::greater<>>
        completions_;
    std::mt19937_64 random_{1};
    std::uniform_real_distribution<double> uniform_;
};


const char* name_of(knowledge k)
{
    switch (k) {
    case knowledge::direct:
        return "direct";
    case knowledge::relayed:
        return "relayed";
    case knowledge::relayed_only:
        return "relayed-only";
    case knowledge::complete:
        break;
    }
    return "complete";
}


double waiting_share(const cluster& c, knowledge k)
{
    const double share = simulation(c, k).waiting_share();
    std::printf(
        "daemons=%u upstreams=%u moved=%.2f knowledge=%s waiting=%.4f\n",
        c.data_centres_ * c.daemons_per_data_centre_,
        c.data_centres_ * c.upstreams_per_data_centre_,
        c.moved_callers_,
        name_of(k),
        share);
    return share;
}


// With 60 % of the slots in use on average, hardly any request should wait.
constexpr double max_waiting_share = 0.01;

} // namespace

Test(relayed_loads, complete_knowledge_is_the_reference)
{
    cr_assert_leq(waiting_share({}, knowledge::complete), max_waiting_share);
}


Test(relayed_loads, few_daemons_balance_the_load)
{
    const cluster few{1, 8, 20, 17, 200, milliseconds(1050), 0};
    cr_assert_leq(waiting_share(few, knowledge::direct), max_waiting_share);
}


Test(relayed_loads, dozens_of_daemons_do_not_overload_single_groups)
{
    const cluster dozens{3, 27, 18, 15, 450, milliseconds(1050), 0};
    cr_assert_leq(waiting_share(dozens, knowledge::relayed), max_waiting_share);
}


Test(relayed_loads, hundreds_of_daemons_do_not_overload_single_groups)
{
    cr_assert_leq(waiting_share({}, knowledge::relayed), max_waiting_share);
    const cluster largest{5, 93, 66, 14, 3260, milliseconds(850), 0};
    cr_assert_leq(
        waiting_share(largest, knowledge::relayed), max_waiting_share);
}


Test(relayed_loads, always_choosing_the_least_loaded_overloads_it)
{
    cr_assert_gt(waiting_share({}, knowledge::relayed_only), max_waiting_share);
}


Test(relayed_loads, callers_that_move_to_another_data_centre_are_spread)
{
    cluster moved;
    moved.moved_callers_ = 0.62;
    cr_assert_leq(waiting_share(moved, knowledge::relayed), max_waiting_share);
}
