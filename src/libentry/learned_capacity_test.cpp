// Many daemons that learn the pace and the capacity of upstreams from their own
// streams and from each other's reports, which go through the relays of three
// data centres, and choose upstreams by them at the same time.

#include "load_exchange.hpp"
#include "pace_exchange.hpp"

#include <monsoondock/hostpace/compare.hpp>
#include <monsoondock/relay/choose_upstream.hpp>

#include <criterion/criterion.h>

#include <cstdio>
#include <functional>
#include <random>

using namespace monsoondock;
using std::chrono::milliseconds;

namespace {

const base::time_point origin{std::chrono::hours(1)};
constexpr milliseconds step{10};
constexpr milliseconds load_period{100};
constexpr milliseconds update_period{100};
constexpr unsigned data_centres = 3;
constexpr unsigned daemons = 58;
constexpr unsigned groups = 21;
constexpr unsigned slots = 34;
constexpr double event_interval_ms = 50;
constexpr double stream_ms = 1600;


/// How choices are made; all but the first are compared with it.
enum class variant
{
    learned,
    /// By slots and by the event intervals of each daemon alone.
    slots,
    /// Daemons learn from their own streams only.
    no_exchange,
    /// Daemons do not regard what the others send at the same time.
    no_spread,
    /// Paces are not compared with those of other upstreams.
    not_relative
};


struct load_case
{
    double streams_per_second_ = 250;
    /// Returns the pace of a group at a time at which it runs some streams.
    std::function<double(unsigned group, milliseconds now, unsigned running)>
        pace_;
};


struct stream
{
    unsigned group_ = 0;
    unsigned daemon_ = 0;
    double remaining_ms_ = stream_ms;
    double progress_ms_ = 0;
    milliseconds event_at_{0};
    bool late_ = false;
};


struct daemon_state
{
    relay::upstream_table table_;
    entry::pvt::load_table reported_;
};


struct counts
{
    unsigned started_ = 0;
    unsigned late_ = 0;
    /// Streams that found all slots of their group in use.
    unsigned waiting_ = 0;
    std::vector<unsigned> by_group_ = std::vector<unsigned>(groups);


    double late_share() const
    {
        return double(late_) / std::max(1U, started_);
    }


    double waiting_share() const
    {
        return double(waiting_) / std::max(1U, started_);
    }


    /// Share of a group's streams in those of the average group.
    double share_of(unsigned group) const
    {
        return double(by_group_[group]) * groups / std::max(1U, started_);
    }
};


class simulation
{
public:
    simulation(load_case c, variant v)
        : case_(std::move(c)), variant_(v), daemons_(daemons), running_(groups),
          loads_(data_centres), paces_(data_centres)
    {
        for (unsigned g = 0; g < groups; ++g) {
            relay::upstream u;
            u.host_ = {"g" + std::to_string(g)};
            u.data_centre_ = {std::to_string(g % data_centres)};
            u.slots_ = slots;
            u.model_ = "m";
            all_.push_back(u);
        }
    }


    /// Runs for a time and returns what happened in it.
    counts run(milliseconds time)
    {
        counts_ = {};
        std::exponential_distribution<double> gap(
            case_.streams_per_second_ / 1000);
        for (const auto end = now_ + time; now_ < end;) {
            now_ += step;
            advance_streams();
            exchange_loads();
            if (variant_ != variant::slots)
                exchange_paces();
            for (; next_ < double(now_.count()); next_ += gap(random_))
                start_stream();
        }
        return counts_;
    }


    /// Number of evidence reports that daemons have sent.
    unsigned reports() const
    {
        return reports_;
    }


    void restart_group(unsigned g)
    {
        for (daemon_state& d : daemons_)
            hostpace::restart(
                d.table_.state_of(all_[g].host_).pace_, origin + now_);
    }

private:
    base::time_point at() const
    {
        return origin + now_;
    }


    bool is_due(unsigned member, milliseconds period) const
    {
        return (now_.count() / step.count() + member * 7) % (period / step) ==
               0;
    }


    void record_event(stream& s, double interval_ms)
    {
        relay::upstream_state& u =
            daemons_[s.daemon_].table_.state_of(all_[s.group_].host_);
        u.event_interval_ms_ =
            u.event_interval_ms_ == 0
                ? interval_ms
                : u.event_interval_ms_ +
                      0.1 * (interval_ms - u.event_interval_ms_);
        hostpace::add_sample(
            u.pace_,
            {total_load(u),
             slots,
             hostpace::fractional_ms(interval_ms),
             hostpace::fractional_ms(event_interval_ms)},
            at());
    }


    void advance_streams()
    {
        for (stream& s : streams_) {
            const double pace = case_.pace_(s.group_, now_, running_[s.group_]);
            const double work = double(step.count()) / pace;
            s.remaining_ms_ -= work;
            s.progress_ms_ += work;
            if (s.progress_ms_ < event_interval_ms)
                continue;
            s.progress_ms_ -= event_interval_ms;
            const double interval =
                double((now_ - std::exchange(s.event_at_, now_)).count());
            record_event(s, interval);
            s.late_ = s.late_ || interval > 2 * event_interval_ms;
        }
        std::erase_if(streams_, [&](const stream& s) {
            if (s.remaining_ms_ > 0)
                return false;
            --running_[s.group_];
            --daemons_[s.daemon_]
                  .table_.state_of(all_[s.group_].host_)
                  .in_flight_;
            counts_.late_ += s.late_ ? 1 : 0;
            return true;
        });
    }


    void exchange_loads()
    {
        for (unsigned d = 0; d < daemons; ++d) {
            if (!is_due(d, load_period))
                continue;
            daemons_[d].reported_ = daemons_[d].table_.local_loads();
            loads_[d % data_centres].set_daemon(
                {std::to_string(d)}, daemons_[d].reported_, at());
        }
        for (unsigned c = 0; c < data_centres; ++c) {
            if (!is_due(c, load_period))
                continue;
            const auto own = loads_[c].own_sum(at());
            const auto others = loads_[c].other_sum(at());
            for (unsigned other = 0; other < data_centres; ++other) {
                if (other != c)
                    loads_[other].set_data_centre(
                        {std::to_string(c)}, own, at());
            }
            for (unsigned d = c; d < daemons; d += data_centres) {
                daemons_[d].table_.set_peer_loads(
                    {"own"}, entry::pvt::subtract(own, daemons_[d].reported_));
                daemons_[d].table_.set_peer_loads({"others"}, others);
            }
        }
    }


    void exchange_paces()
    {
        for (unsigned d = 0; d < daemons; ++d) {
            if (is_due(d, update_period))
                update_paces(d);
            if (is_due(d, entry::pvt::pace_report_period))
                paces_[d % data_centres].set_daemon(
                    {std::to_string(d)}, reports_of(d), at());
        }
        for (unsigned c = 0; c < data_centres; ++c) {
            if (!is_due(c, entry::pvt::pace_report_period))
                continue;
            const auto own = paces_[c].own_sum(at());
            const auto others = paces_[c].other_sum(at());
            for (unsigned other = 0; other < data_centres; ++other) {
                if (other != c)
                    paces_[other].set_data_centre(
                        {std::to_string(c)}, own, at());
            }
            for (unsigned d = c; d < daemons; d += data_centres) {
                apply(d, "own", own);
                apply(d, "others", others);
            }
        }
    }


    void update_paces(unsigned daemon)
    {
        std::vector<hostpace::pace_state*> paces;
        for (const relay::upstream& u : all_) {
            auto& pace = daemons_[daemon].table_.state_of(u.host_).pace_;
            hostpace::update(pace, at());
            paces.push_back(&pace);
        }
        const auto changed = hostpace::compare(paces);
        if (variant_ == variant::not_relative) {
            for (hostpace::pace_state* s : paces)
                s->relative_ = hostpace::factor(*s);
        }
        for (std::size_t i = 0; i < all_.size(); ++i) {
            const bool is_new =
                std::find(changed.begin(), changed.end(), paces[i]) !=
                changed.end();
            if (is_new && paces[i]->slow_)
                send_alert(daemon, i);
        }
    }


    void send_alert(unsigned daemon, std::size_t group)
    {
        const auto& pace =
            daemons_[daemon].table_.state_of(all_[group].host_).pace_;
        const auto sums = hostpace::own_sums(pace, at());
        const auto own = hostpace::total(sums);
        if (own.observed_ms_ <= hostpace::slow_factor * own.expected_ms_)
            return;
        for (unsigned d = 0; d < daemons; ++d) {
            if (d != daemon)
                apply(
                    d, std::to_string(daemon), {{all_[group].host_, 1, sums}});
        }
    }


    entry::pvt::pace_reports reports_of(unsigned daemon)
    {
        entry::pvt::pace_reports reports;
        for (const auto& [host, s] : daemons_[daemon].table_.states()) {
            const auto sums = hostpace::own_sums(s.pace_, at());
            if (hostpace::must_report(s.pace_) && hostpace::is_valid(sums))
                reports.push_back({host, 1, sums});
        }
        reports_ += static_cast<unsigned>(reports.size());
        return reports;
    }


    void apply(
        unsigned daemon,
        const std::string& source,
        const entry::pvt::pace_reports& reports)
    {
        if (variant_ == variant::no_exchange)
            return;
        for (const hostpace::pace_report& r : reports)
            hostpace::set_peer_sums(
                daemons_[daemon].table_.state_of(r.host_).pace_,
                {source},
                r.sums_,
                at());
    }


    void start_stream()
    {
        const auto d = static_cast<unsigned>(random_() % daemons);
        relay::choice_request request;
        request.model_ = "m";
        request.local_data_centre_ = {std::to_string(d % data_centres)};
        request.now_ = at();
        request.random_fraction_ = uniform_(random_);
        request.learned_capacity_ = variant_ != variant::slots;
        if (variant_ != variant::no_spread)
            request.unreported_requests_ = case_.streams_per_second_ * 2 *
                                           double(load_period.count()) / 1000;
        const auto g = static_cast<unsigned>(
            *relay::choose_upstream(all_, daemons_[d].table_, request));
        ++counts_.started_;
        ++counts_.by_group_[g];
        counts_.waiting_ += running_[g] >= slots ? 1 : 0;
        ++running_[g];
        ++daemons_[d].table_.state_of(all_[g].host_).in_flight_;
        streams_.push_back({g, d, stream_ms, 0, now_, false});
    }

    load_case case_;
    variant variant_;
    milliseconds now_{0};
    std::vector<relay::upstream> all_;
    std::vector<daemon_state> daemons_;
    std::vector<stream> streams_;
    std::vector<unsigned> running_;
    std::vector<entry::pvt::load_exchange> loads_;
    std::vector<entry::pvt::pace_exchange> paces_;
    counts counts_;
    unsigned reports_ = 0;
    double next_ = 0;
    std::mt19937_64 random_{1};
    std::uniform_real_distribution<double> uniform_;
};


constexpr milliseconds settling_time{4000};


// One group after the other is four times slower for six seconds of ten.
load_case stragglers()
{
    load_case c;
    c.pace_ = [](unsigned group, milliseconds now, unsigned) {
        const auto turn = now.count() / 10000;
        const bool slow = group == static_cast<unsigned>(turn * 5 + 3) % groups;
        return slow && now.count() % 10000 >= 4000 ? 4.0 : 1.0;
    };
    return c;
}


// Group 0 is four times slower until a time.
load_case slow_until(milliseconds end, double streams_per_second)
{
    load_case c;
    c.streams_per_second_ = streams_per_second;
    c.pace_ = [end](unsigned group, milliseconds now, unsigned) {
        return group == 0 && now < end ? 4.0 : 1.0;
    };
    return c;
}


counts run_stragglers(variant v)
{
    simulation s(stragglers(), v);
    const counts c = s.run(milliseconds(40000));
    std::printf("stragglers variant=%d late=%.4f\n", int(v), c.late_share());
    return c;
}

} // namespace

Test(learned_capacity, a_minority_of_stragglers_makes_few_streams_late)
{
    const double learned = run_stragglers(variant::learned).late_share();
    // Those that run when a group becomes slow, and those started before it is
    // known: about one second's worth of four and a half for each straggler.
    cr_assert_lt(learned, 0.02);
    cr_assert_lt(learned, run_stragglers(variant::slots).late_share());
}


Test(learned_capacity, without_exchange_stragglers_make_more_streams_late)
{
    cr_assert_gt(
        run_stragglers(variant::no_exchange).late_share(),
        1.2 * run_stragglers(variant::learned).late_share());
}


Test(learned_capacity, a_straggler_loses_its_work_within_a_second)
{
    simulation s(slow_until(milliseconds(60000), 250), variant::learned);
    s.run(settling_time);
    const counts later = s.run(milliseconds(5000));
    std::printf("straggler share=%.3f\n", later.share_of(0));
    cr_assert_lt(later.share_of(0), 0.25);
}


Test(learned_capacity, a_host_slow_from_half_load_on_gets_less_than_half)
{
    load_case c;
    c.streams_per_second_ = 320;
    c.pace_ = [](unsigned group, milliseconds, unsigned running) {
        return group == 0 && running > slots / 2 ? 3.0 : 1.0;
    };
    double late[2];
    for (const variant v : {variant::learned, variant::slots}) {
        simulation s(c, v);
        s.run(settling_time);
        const counts r = s.run(milliseconds(20000));
        std::printf(
            "half-load variant=%d late=%.4f share=%.3f\n",
            int(v),
            r.late_share(),
            r.share_of(0));
        late[v == variant::learned ? 0 : 1] = r.late_share();
        if (v == variant::learned) {
            cr_assert_gt(r.share_of(0), 0.2);
        }
    }
    cr_assert_lt(late[0], 0.02);
    cr_assert_lt(late[0], late[1]);
}


// Slowing down all of them in the same way must not move requests around.
Test(learned_capacity, all_slow_at_once_changes_nothing)
{
    load_case c;
    c.streams_per_second_ = 150;
    c.pace_ = [](unsigned, milliseconds now, unsigned) {
        return now > milliseconds(2000) ? 2.0 : 1.0;
    };
    double lowest[2];
    unsigned sent[2];
    for (const variant v : {variant::learned, variant::not_relative}) {
        simulation s(c, v);
        s.run(settling_time);
        const unsigned before = s.reports();
        const counts r = s.run(milliseconds(20000));
        const auto i = v == variant::learned ? 0 : 1;
        const auto shares =
            std::minmax_element(r.by_group_.begin(), r.by_group_.end());
        lowest[i] = double(*shares.first) * groups / r.started_;
        sent[i] = s.reports() - before;
        std::printf(
            "all slow variant=%d lowest=%.2f highest=%.2f reports=%u\n",
            int(v),
            lowest[i],
            double(*shares.second) * groups / r.started_,
            sent[i]);
    }
    cr_assert_gt(lowest[0], 0.75);
    // A quarter of all pairs of daemons and groups, once a second.
    const unsigned bound = 20 * daemons * groups / 4;
    cr_assert_lt(sent[0], bound);
    cr_assert_gt(sent[1], bound);
}


Test(learned_capacity, one_that_recovers_regains_its_share_without_a_rush)
{
    simulation s(slow_until(milliseconds(8000), 250), variant::learned);
    s.run(milliseconds(8000));
    double largest = 0;
    counts last;
    for (int second = 0; second < 12; ++second) {
        last = s.run(milliseconds(1000));
        std::printf(
            "recovery second=%d share=%.2f\n", second, last.share_of(0));
        largest = std::max(largest, last.share_of(0));
    }
    cr_assert_lt(largest, 2.5);
    last = s.run(milliseconds(5000));
    cr_assert_gt(last.share_of(0), 0.75);
}


// With estimates as old as a second, all daemons could choose the upstream that
// looked fastest.
Test(learned_capacity, daemons_choosing_at_the_same_time_overload_no_group)
{
    const auto waiting = [](variant v) {
        simulation s(slow_until(milliseconds(8000), 270), v);
        s.run(settling_time);
        const double share = s.run(milliseconds(14000)).waiting_share();
        std::printf("herding variant=%d waiting=%.4f\n", int(v), share);
        return share;
    };
    cr_assert_lt(waiting(variant::learned), 0.01);
    cr_assert_gt(waiting(variant::no_spread), 0.01);
}


Test(learned_capacity, a_restarted_group_starts_slowly_and_gets_its_share)
{
    simulation s(slow_until(milliseconds(6000), 250), variant::learned);
    s.run(milliseconds(6000));
    s.restart_group(0);
    const counts first = s.run(milliseconds(500));
    s.run(milliseconds(5000));
    const counts later = s.run(milliseconds(5000));
    std::printf(
        "restart first=%.2f later=%.2f\n",
        first.share_of(0),
        later.share_of(0));
    cr_assert_lt(first.share_of(0), 1.2);
    cr_assert_gt(later.share_of(0), 0.75);
}
