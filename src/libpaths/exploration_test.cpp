#include "../libbase/first_violation_test.hpp"

#include <monsoondock/paths/helper.hpp>
#include <monsoondock/paths/host_check.hpp>
#include <monsoondock/paths/link_table.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string>

using namespace monsoondock;
using namespace monsoondock::paths;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds step = 50ms;
constexpr milliseconds simulated_time = 30s;
constexpr milliseconds message_time = 10ms;
constexpr milliseconds answer_timeout = 350ms;
constexpr milliseconds test_period = 250ms;
// Time until daemons know which others have no links.
constexpr milliseconds gossip_time = 1500ms;
// A daemon without links takes detours from this time after they were cut.
constexpr milliseconds settle_time = 3s;
// Bound for the end of detours after the cut, and for a host that has failed to
// be found out.
constexpr milliseconds restore_time = 3s;
constexpr milliseconds failure_time = 3s;
constexpr double message_loss = 0.005;
constexpr std::size_t data_centres = 3;
// As in the entry daemon, which asks all others in a small installation.
constexpr std::size_t witnesses = 24;
constexpr std::size_t compared = 3;


enum class variant
{
    correct,
    /// Injected fault: a host is blamed by any daemon that cannot reach it.
    no_questions,
    /// Injected fault: what daemons without links find counts.
    unqualified_findings,
    /// Injected fault: cut links are never tested again.
    no_tests
};


enum class event_kind
{
    /// Some daemons lose their links to all hosts, to those of one data centre,
    /// or to a random half of them.
    cut_all,
    cut_data_centre,
    cut_some,
    /// All hosts of a data centre fail, for good.
    hosts_fail
};


/// Simulation of daemons that try hosts at random and lose links to them.
class simulation
{
public:
    simulation(
        std::uint64_t seed, std::size_t daemons, std::size_t hosts, variant v)
        : variant_(v), random_(seed), daemons_(daemons), hosts_(hosts)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            hosts_[i].id_ = {"h" + std::to_string(i)};
            hosts_[i].data_centre_ = i % data_centres;
            listed_.insert(hosts_[i].id_);
        }
        for (std::size_t i = 0; i < daemons; ++i)
            daemons_[i].data_centre_ = i % data_centres;
    }

    std::optional<std::string> run()
    {
        for (; now_ < simulated_time; now_ += step) {
            change_links();
            deliver();
            // In a large installation only some daemons try hosts; the others
            // answer them.
            const std::size_t active =
                std::min<std::size_t>(daemons_.size(), 24);
            for (std::size_t i = 0; i < active; ++i)
                act(i);
            if (violation_)
                return violation_;
        }
        return violation_;
    }

private:
    struct host
    {
        base::host_id id_;
        std::size_t data_centre_ = 0;
        std::optional<milliseconds> failed_at_;
    };

    struct check
    {
        std::size_t host_ = 0;
        milliseconds began_{0};
        host_check evidence_;
        std::vector<std::size_t> awaited_;
        bool asked_again_ = false;
    };

    struct daemon
    {
        std::size_t data_centre_ = 0;
        link_table links_;
        std::deque<check> checks_;
        milliseconds next_test_{0};
    };

    struct message
    {
        milliseconds due_{0};
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        std::size_t host_ = 0;
        std::optional<peer_finding> finding_;
    };

    std::size_t random_below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    base::time_point clock(milliseconds t) const
    {
        return base::time_point(1h + t);
    }

    void change_links()
    {
        if (now_ < next_event_)
            return;
        cut_until_ = 0ms;
        next_event_ = now_ + 9s;
        kind_ = static_cast<event_kind>(random_below(4));
        // A cut of some hosts that concerns nearly all daemons of a large
        // installation looks like a failure of these hosts.
        const bool partial = kind_ != event_kind::cut_all;
        const std::size_t most = partial && daemons_.size() > witnesses
                                     ? daemons_.size() / 2
                                     : daemons_.size() - 1;
        cut_daemons_ = happens(0.3) ? most : 1 + random_below(most);
        cut_data_centre_ = random_below(data_centres);
        cut_salt_ = random_();
        cut_at_ = now_;
        if (kind_ == event_kind::hosts_fail) {
            for (host& h : hosts_) {
                if (h.data_centre_ == cut_data_centre_ && !h.failed_at_)
                    h.failed_at_ = now_;
            }
            return;
        }
        cut_until_ = now_ + 5s;
    }

    bool is_cut(std::size_t d, const host& h) const
    {
        if (now_ >= cut_until_ || d >= cut_daemons_)
            return false;
        switch (kind_) {
        case event_kind::cut_all:
            return true;
        case event_kind::cut_data_centre:
            return h.data_centre_ == cut_data_centre_;
        case event_kind::cut_some:
            return (std::hash<std::string>()(h.id_.value_) ^ cut_salt_) % 2 ==
                   0;
        case event_kind::hosts_fail:
            break;
        }
        return false;
    }

    bool connects(std::size_t d, std::size_t h)
    {
        if (hosts_[h].failed_at_ || is_cut(d, hosts_[h]))
            return false;
        daemons_[d].links_.record_reached(hosts_[h].id_, clock(now_));
        return true;
    }

    void connect_others(std::size_t d, std::size_t h)
    {
        for (std::size_t i = 0; i < compared; ++i) {
            const std::size_t other = random_below(hosts_.size());
            if (other != h)
                connects(d, other);
        }
    }

    void send(message m)
    {
        m.due_ = now_ + message_time;
        if (!happens(message_loss))
            messages_.push_back(m);
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(messages_, [&](const message& m) {
            if (m.due_ > now_)
                return false;
            due.push_back(m);
            return true;
        });
        for (const message& m : due) {
            if (m.finding_)
                take_finding(m);
            else
                answer(m);
        }
    }

    void answer(const message& m)
    {
        peer_finding finding = peer_finding::reached;
        if (!connects(m.to_, m.host_)) {
            connect_others(m.to_, m.host_);
            const bool reached_other =
                daemons_[m.to_].links_.reached_other_since(
                    hosts_[m.host_].id_, clock(now_));
            finding = reached_other || variant_ == variant::unqualified_findings
                          ? peer_finding::not_reached
                          : peer_finding::unknown;
        }
        send({{}, m.to_, m.from_, m.host_, finding});
    }

    void take_finding(const message& m)
    {
        for (check& c : daemons_[m.to_].checks_) {
            if (c.host_ == m.host_ && std::erase(c.awaited_, m.from_) > 0)
                add_finding(c.evidence_, *m.finding_);
        }
    }

    void act(std::size_t d)
    {
        daemon& self = daemons_[d];
        conclude_checks(d);
        if (now_ >= self.next_test_ && variant_ != variant::no_tests) {
            self.next_test_ = now_ + test_period;
            for (const base::host_id& id :
                 self.links_.take_tests(listed_, clock(now_)))
                try_host(d, index_of(id));
        }
        const std::size_t h = random_below(hosts_.size());
        const auto unusable = self.links_.unusable_hosts(listed_, clock(now_));
        check_bounds(d, unusable);
        if (!unusable.contains(hosts_[h].id_))
            try_host(d, h);
    }

    std::size_t index_of(const base::host_id& id) const
    {
        return std::stoul(id.value_.substr(1));
    }

    void try_host(std::size_t d, std::size_t h)
    {
        daemon& self = daemons_[d];
        const bool checked = std::any_of(
            self.checks_.begin(), self.checks_.end(), [&](const check& c) {
                return c.host_ == h;
            });
        if (connects(d, h) || checked || self.links_.is_cut(hosts_[h].id_))
            return;
        check c{h, now_, {}, {}, false};
        connect_others(d, h);
        if (variant_ != variant::no_questions) {
            c.awaited_ = choose_witnesses(d);
            c.evidence_.asked_ = c.awaited_.size();
            send_queries(d, c);
        } else {
            c.evidence_.reached_other_host_ = true;
        }
        self.checks_.push_back(c);
    }

    void send_queries(std::size_t d, const check& c)
    {
        for (std::size_t peer : c.awaited_)
            send({{}, d, peer, c.host_, std::nullopt});
    }

    // Daemons that are known to have no links are asked last.
    std::vector<std::size_t> choose_witnesses(std::size_t d)
    {
        std::vector<std::size_t> peers;
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            if (i != d)
                peers.push_back(i);
        }
        std::shuffle(peers.begin(), peers.end(), random_);
        std::stable_partition(
            peers.begin(), peers.end(), [&](std::size_t peer) {
                return !is_known_to_be_cut_off(peer);
            });
        peers.resize(std::min(peers.size(), witnesses));
        return peers;
    }

    bool is_known_to_be_cut_off(std::size_t d) const
    {
        return kind_ == event_kind::cut_all && d < cut_daemons_ &&
               now_ < cut_until_ && now_ - cut_at_ > gossip_time;
    }

    void conclude_checks(std::size_t d)
    {
        daemon& self = daemons_[d];
        for (auto c = self.checks_.begin(); c != self.checks_.end();) {
            c->evidence_.reached_other_host_ |= self.links_.reached_other_since(
                hosts_[c->host_].id_, clock(c->began_));
            const auto result =
                conclude(c->evidence_, now_ - c->began_ >= answer_timeout);
            if (result == conclusion::pending) {
                if (now_ - c->began_ >= answer_timeout / 2 &&
                    !std::exchange(c->asked_again_, true))
                    send_queries(d, *c);
                ++c;
                continue;
            }
            take_conclusion(d, c->host_, result);
            c = self.checks_.erase(c);
        }
    }

    void take_conclusion(std::size_t d, std::size_t h, conclusion result)
    {
        host& target = hosts_[h];
        if (result == conclusion::link_cut || result == conclusion::unresolved)
            daemons_[d].links_.record_cut(target.id_, clock(now_));
        if (result != conclusion::host_failed)
            return;
        if (!target.failed_at_)
            violation_ = "a host is blamed for a cut link";
        blamed_.insert(h);
    }

    // The links of the daemons that are cut off are known in time, the cut ends
    // in time for them, and hosts that have failed are found out.
    void check_bounds(std::size_t d, const std::set<base::host_id>& unusable)
    {
        const bool cut = kind_ == event_kind::cut_all && d < cut_daemons_ &&
                         now_ < cut_until_;
        if (cut && now_ - cut_at_ >= settle_time) {
            const auto alive =
                std::count_if(hosts_.begin(), hosts_.end(), [](const host& h) {
                    return !h.failed_at_;
                });
            if (alive > 0 && unusable.empty())
                violation_ = "a daemon without links does not know it";
        }
        const bool ended =
            cut_until_ > 0ms && now_ - cut_until_ >= restore_time;
        const bool sound = std::any_of(
            unusable.begin(), unusable.end(), [&](const base::host_id& id) {
                return !hosts_[index_of(id)].failed_at_;
            });
        if (ended && sound)
            violation_ = "a link counts as cut long after the end of the cut";
        if (kind_ == event_kind::hosts_fail && now_ - cut_at_ >= failure_time &&
            now_ - cut_at_ < 5s) {
            const bool any_alive =
                std::any_of(hosts_.begin(), hosts_.end(), [](const host& h) {
                    return !h.failed_at_;
                });
            const bool any_blamed =
                std::any_of(blamed_.begin(), blamed_.end(), [&](std::size_t h) {
                    return hosts_[h].data_centre_ == cut_data_centre_;
                });
            if (any_alive && !any_blamed)
                violation_ = "hosts that have failed are not found out";
            const bool taken_for_cuts = std::any_of(
                unusable.begin(), unusable.end(), [&](const auto& id) {
                    return hosts_[index_of(id)].failed_at_ == cut_at_;
                });
            if (any_alive && taken_for_cuts)
                violation_ = "hosts that have failed are taken for cut links";
        }
    }

    variant variant_;
    std::mt19937_64 random_;
    std::vector<daemon> daemons_;
    std::vector<host> hosts_;
    std::set<base::host_id> listed_;
    std::set<std::size_t> blamed_;
    std::deque<message> messages_;
    milliseconds now_{0};
    milliseconds next_event_{1000};
    event_kind kind_ = event_kind::cut_all;
    milliseconds cut_at_{0};
    milliseconds cut_until_{0};
    std::size_t cut_daemons_ = 0;
    std::size_t cut_data_centre_ = 0;
    std::uint64_t cut_salt_ = 0;
    std::optional<std::string> violation_;
};


std::optional<std::string>
explore(std::uint64_t seeds, std::size_t daemons, variant v)
{
    constexpr std::size_t hosts = 24;
    return base::first_violation(seeds, [&](std::uint64_t seed) {
        return simulation(seed, daemons, hosts, v).run();
    });
}


// Returns the largest extra load of a helper, as a multiple of the load of one
// daemon, when the daemons of a data centre lose their links.
double most_extra_load(std::size_t per_data_centre, std::size_t cut)
{
    constexpr std::size_t requests_per_daemon = 200;
    helper_list list;
    for (std::size_t dc = 0; dc < 15; ++dc) {
        for (std::size_t i = dc == 0 ? cut : 0; i < per_data_centre; ++i)
            list.helpers_.push_back(
                {{std::to_string(dc) + "-" + std::to_string(i)},
                 {std::to_string(dc)},
                 {},
                 1});
    }
    list.local_capacity_without_links_ = double(cut);
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> fraction;
    std::vector<std::size_t> loads(list.helpers_.size());
    for (std::size_t i = 0; i < cut * requests_per_daemon; ++i)
        ++loads[*choose_helper(list, {"0"}, {}, fraction(random))];
    return double(*std::max_element(loads.begin(), loads.end())) /
           requests_per_daemon;
}

} // namespace

// Guards against a daemon, as leader or not, that takes cut links of its own
// for hosts that have failed, and against one that does not notice the cut or
// its end.
Test(paths_exploration, links_are_told_from_hosts_with_4_daemons)
{
    cr_assert_not(explore(300, 4, variant::correct));
}


Test(paths_exploration, the_same_with_91_daemons)
{
    cr_assert_not(explore(60, 91, variant::correct));
}


Test(paths_exploration, the_same_with_195_daemons)
{
    cr_assert_not(explore(40, 195, variant::correct));
}


Test(paths_exploration, the_same_with_466_daemons)
{
    cr_assert_not(explore(20, 466, variant::correct));
}


Test(paths_exploration, finds_daemons_that_blame_without_questions)
{
    cr_assert(explore(20, 4, variant::no_questions));
}


Test(paths_exploration, finds_findings_of_daemons_without_links)
{
    cr_assert(explore(20, 91, variant::unqualified_findings));
}


Test(paths_exploration, finds_cuts_that_do_not_end)
{
    cr_assert(explore(20, 4, variant::no_tests));
}


// Guards against overloading the few helpers of a data centre that loses its
// links: 32 daemons of 466.
Test(paths_exploration, no_helper_is_overloaded)
{
    cr_assert_lt(most_extra_load(31, 31), 0.25);
    cr_assert_lt(most_extra_load(31, 30), 0.75);
    cr_assert_lt(most_extra_load(31, 1), 0.25);
}
