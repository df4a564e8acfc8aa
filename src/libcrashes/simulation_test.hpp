#pragma once

#include "simulation_options_test.hpp"

#include <monsoondock/crashes/part_tracker.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoondock::crashes::test {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Simulation of daemons that send requests to hosts, some of which crash
/// their host; of daemons that are restarted or cut off from the others, alone
/// and all together; and of faults that end many hosts at once.
class simulation
{
public:
    simulation(std::uint64_t seed, const simulation_options& options)
        : options_(options), variant_(options.variant_), random_(seed),
          daemons_(options.daemons_), hosts_(options.hosts_)
    {
        for (daemon& d : daemons_)
            d.steady_since_ = -settle_time;
        crashing_per_second_ = crashing_rates[random_below(3)];
        if (options.crashing_per_second_)
            crashing_per_second_ = *options.crashing_per_second_;
        all_stop_every_ = 12s + milliseconds(random_below(200) * step.count());
        const std::size_t steps = options.time_ / step;
        for (std::size_t i = 0; i < options.herds_; ++i)
            hosts_end_at_.push_back(
                milliseconds(random_below(steps * 14 / 15) * step.count()));
    }

    std::optional<std::string> run()
    {
        for (; now_ < options_.time_; now_ += step) {
            disturb();
            deliver();
            end_requests();
            send_requests();
            exchange();
            for (const auto& [part, k] : known_) {
                if (k.late_ > late_requests)
                    return "requests that crash hosts go on being sent";
            }
            if (sent_ > options_.min_sent_ &&
                rejected_ > options_.max_rejected_ * sent_)
                return "sound requests are rejected";
            if (judged_ >= min_judged && judged_rejected_ * 2 > judged_)
                return "sound requests are rejected beside crashing ones";
        }
        return std::nullopt;
    }

private:
    struct daemon
    {
        part_tracker tracker_;
        bool running_ = true;
        milliseconds cut_until_{0};
        milliseconds restart_at_{0};
        /// Since when it has been running and not cut off.
        milliseconds steady_since_{0};
        milliseconds next_gossip_{0};
        milliseconds started_at_{0};
        milliseconds leads_from_{0};
        /// When it completed requests.
        std::deque<milliseconds> completions_;
    };

    struct host
    {
        std::uint64_t run_ = 0;
        milliseconds up_at_{0};
    };

    struct request
    {
        std::size_t daemon_ = 0;
        std::size_t host_ = 0;
        std::uint64_t run_ = 0;
        std::uint64_t id_ = 0;
        std::vector<prompt_part> parts_;
        milliseconds begins_{0};
        milliseconds ends_{0};
        /// The part that crashes hosts.
        std::optional<prompt_part> crashing_part_;
        int sends_ = 1;
    };

    /// Of a part that crashes hosts.
    struct knowledge
    {
        int crashes_ = 0;
        milliseconds known_at_{0};
        int late_ = 0;
    };

    struct message
    {
        milliseconds due_{0};
        std::size_t to_ = 0;
        part_report report_;
    };

    std::size_t random_below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    double random_fraction()
    {
        return std::uniform_real_distribution<double>()(random_);
    }

    base::time_point clock() const
    {
        return base::time_point(1h + now_);
    }

    bool is_connected(const daemon& d) const
    {
        return d.running_ && now_ >= d.cut_until_;
    }

    void stop(daemon& d)
    {
        d.running_ = false;
        d.restart_at_ = now_ + 300ms + milliseconds(random_below(1500));
        d.tracker_ = part_tracker();
    }

    void disturb()
    {
        for (daemon& d : daemons_) {
            if (!d.running_ && now_ >= d.restart_at_) {
                d.running_ = true;
                d.started_at_ = now_;
                d.steady_since_ = now_;
                // A daemon that knows no peer reads the record.
                const bool alone = now_ - all_stopped_at_ < discovery_time;
                if (alone && now_ >= d.cut_until_)
                    read_record(d);
            }
            if (d.running_ && now_ < d.cut_until_)
                d.steady_since_ = now_;
        }
        if (std::find(hosts_end_at_.begin(), hosts_end_at_.end(), now_) !=
            hosts_end_at_.end()) {
            for (std::size_t i = 0; i < hosts_.size() / 3; ++i)
                end_host(random_below(hosts_.size()));
        }
        if (now_ == options_.all_end_at_) {
            for (std::size_t i = 0; i < hosts_.size(); ++i)
                end_host(i);
        }
        if (!options_.disturbed_)
            return;
        if (now_ > 0ms && now_ % all_stop_every_ == 0ms) {
            all_stopped_at_ = now_;
            for (daemon& d : daemons_)
                stop(d);
        }
        if (happens(0.005))
            stop(daemons_[random_below(daemons_.size())]);
        if (happens(0.005))
            daemons_[random_below(daemons_.size())].cut_until_ =
                now_ + 500ms + milliseconds(random_below(5000));
    }

    void send(std::size_t from, std::size_t to, message m)
    {
        if (from == to || !is_connected(daemons_[from]) ||
            !is_connected(daemons_[to]) || happens(message_loss))
            return;
        m.due_ = now_ + step;
        m.to_ = to;
        messages_.push_back(std::move(m));
    }

    void broadcast(std::size_t from, const message& m)
    {
        for (std::size_t to = 0; to < daemons_.size(); ++to)
            send(from, to, m);
    }

    void deliver()
    {
        for (; !messages_.empty() && messages_.front().due_ <= now_;
             messages_.pop_front()) {
            const message& m = messages_.front();
            daemon& d = daemons_[m.to_];
            if (!d.running_)
                continue;
            d.tracker_.apply(
                m.report_, milliseconds(random_below(200)), clock());
        }
    }

    // Ends a host and reports the requests that were in flight on it.
    void end_host(std::size_t i)
    {
        host& h = hosts_[i];
        if (now_ < h.up_at_)
            return;
        std::vector<request> lost;
        std::erase_if(requests_, [&](const request& r) {
            if (r.host_ == i && r.run_ == h.run_)
                lost.push_back(r);
            return r.host_ == i && r.run_ == h.run_;
        });
        for (const request& r : lost)
            report_loss(r);
        ++h.run_;
        h.up_at_ = now_ + host_restart_time;
        for (const request& r : lost)
            repeat(r);
    }

    void repeat(request r)
    {
        const std::size_t to = random_below(hosts_.size());
        if (!options_.repeats_ || r.sends_ >= max_sends ||
            now_ < hosts_[to].up_at_ || is_rejected(daemons_[r.daemon_], r))
            return;
        ++r.sends_;
        r.host_ = to;
        send_to_host(std::move(r));
    }

    void report_loss(const request& r)
    {
        daemon& d = daemons_[r.daemon_];
        if (!d.running_)
            return;
        const bool begun = now_ >= r.begins_;
        if (begun && now_ - r.begins_ >= part_tracker::max_crash_delay)
            return;
        part_crash crash{r.parts_, r.host_ * 1000 + r.run_, r.id_, begun};
        if (variant_ == variant::by_request)
            crash.parts_ = {r.id_};
        const part_report report = d.tracker_.add_crash(
            crash, milliseconds(random_below(200)), clock());
        if (!report.empty())
            broadcast(r.daemon_, {{}, 0, report});
    }

    void end_requests()
    {
        std::vector<request> ended;
        std::erase_if(requests_, [&](const request& r) {
            const bool ends = now_ >= r.ends_;
            if (ends)
                ended.push_back(r);
            return ends;
        });
        for (const request& r : ended) {
            if (r.crashing_part_ && r.run_ != hosts_[r.host_].run_) {
                report_loss(r);
            } else if (r.crashing_part_) {
                requests_.push_back(r);
                end_host(r.host_);
                knowledge& k = known_[*r.crashing_part_];
                if (++k.crashes_ == known_crashes)
                    k.known_at_ = now_;
            } else if (
                daemons_[r.daemon_].running_ &&
                variant_ != variant::no_survivors) {
                daemons_[r.daemon_].completions_.push_back(now_);
                daemons_[r.daemon_].tracker_.add_completion(
                    r.parts_, r.host_ * 1000 + r.run_, clock());
            } else if (daemons_[r.daemon_].running_) {
                daemons_[r.daemon_].tracker_.add_completion(
                    {r.id_ + 1000000}, r.host_ * 1000 + r.run_, clock());
            }
        }
    }

    // Returns true when a request with some of the parts of a quarantined set
    // is rejected by the broken variant.
    bool shares_quarantined_part(const daemon& d, const request& r) const
    {
        for (const prompt_part part : r.parts_) {
            for (prompt_part other = common_part; other < part_of_others;
                 ++other) {
                const auto set =
                    d.tracker_.find_quarantined({part, other}, clock());
                if (set && holds(*set, {part}))
                    return true;
            }
        }
        return false;
    }

    bool is_rejected(daemon& d, const request& r)
    {
        if (variant_ == variant::by_request)
            return d.tracker_.find_quarantined({r.id_}, clock()).has_value();
        if (variant_ == variant::single_parts && shares_quarantined_part(d, r))
            return true;
        while (!d.completions_.empty() && d.completions_.front() < now_ - 10s)
            d.completions_.pop_front();
        if (variant_ == variant::only_in_traffic && d.completions_.size() < 3)
            return false;
        return d.tracker_.find_quarantined(r.parts_, clock()).has_value();
    }

    // Counts a request that crashes hosts and that is sent though the part has
    // been known for long enough.
    void count_late(const request& r)
    {
        const bool in_touch =
            now_ - daemons_[r.daemon_].steady_since_ >= settle_time;
        if (!r.crashing_part_ || !in_touch)
            return;
        knowledge& k = known_[*r.crashing_part_];
        if (k.crashes_ >= known_crashes && now_ > k.known_at_ + settle_time)
            ++k.late_;
    }

    void count_sound(bool rejected)
    {
        ++sent_;
        rejected_ += rejected ? 1 : 0;
        for (const auto& [part, k] : known_) {
            if (k.crashes_ < known_crashes ||
                now_ < k.known_at_ + clearing_time)
                return;
        }
        if (known_.empty())
            return;
        ++judged_;
        judged_rejected_ += rejected ? 1 : 0;
    }

    void send_to_host(request r)
    {
        count_late(r);
        r.run_ = hosts_[r.host_].run_;
        r.begins_ = now_ + milliseconds(20 + random_below(300));
        r.ends_ = r.begins_ + (r.crashing_part_ ? crash_delay : response_time);
        requests_.push_back(std::move(r));
    }

    void send_request(
        std::vector<prompt_part> parts,
        std::optional<prompt_part> crashing_part,
        bool judged)
    {
        request r;
        r.daemon_ = random_below(daemons_.size());
        r.host_ = random_below(hosts_.size());
        daemon& d = daemons_[r.daemon_];
        if (!d.running_ || now_ < hosts_[r.host_].up_at_)
            return;
        r.id_ = 1000000 + ++last_id_;
        r.parts_ = std::move(parts);
        r.crashing_part_ = crashing_part;
        const bool rejected = is_rejected(d, r) && !is_trial(d, r);
        if (judged)
            count_sound(rejected);
        if (!rejected)
            send_to_host(std::move(r));
    }

    bool is_trial(daemon& d, const request& r)
    {
        return variant_ != variant::no_trials &&
               variant_ != variant::single_parts &&
               d.tracker_.admit_trial(
                   r.parts_, daemons_.size(), random_fraction(), clock());
    }

    int arrivals(double per_second)
    {
        const double steps = std::chrono::duration<double>(step).count();
        return per_second == 0 ? 0
                               : std::poisson_distribution<int>(
                                     per_second * steps)(random_);
    }

    prompt_part sound_part()
    {
        return first_sound_part + random_below(sound_parts);
    }

    void send_requests()
    {
        for (int i = arrivals(options_.others_per_second_); i > 0; --i)
            send_request({part_of_others}, std::nullopt, false);
        if (now_ >= options_.sound_from_)
            for (int i = arrivals(options_.sound_per_second_); i > 0; --i)
                send_request({common_part, sound_part()}, std::nullopt, true);
        if (now_ < options_.crashing_from_)
            return;
        for (int i = arrivals(crashing_per_second_); i > 0; --i) {
            const prompt_part part =
                first_crashing_part + random_below(options_.crashing_parts_);
            send_request({common_part, part, sound_part()}, part, false);
        }
    }

    std::optional<std::size_t> leader() const
    {
        if (is_connected(daemons_[leader_]))
            return leader_;
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            if (is_connected(daemons_[i]))
                return i;
        }
        return std::nullopt;
    }

    // The first connected daemon relays between all others and keeps what is
    // quarantined in the store.
    void exchange()
    {
        const auto first = leader();
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            daemon& d = daemons_[i];
            if (!d.running_)
                continue;
            const part_report report = d.tracker_.take_report(clock());
            if (!report.empty())
                broadcast(i, {{}, 0, report});
            if (now_ < d.next_gossip_ || !first)
                continue;
            d.next_gossip_ = now_ + gossip_period;
            const part_report state = d.tracker_.state(clock());
            if (state.empty() || variant_ == variant::no_gossip)
                continue;
            if (i == *first)
                broadcast(i, {{}, 0, state});
            else
                send(i, *first, {{}, 0, state});
        }
        if (first)
            keep_record(*first);
    }

    void read_record(daemon& d)
    {
        if (variant_ != variant::no_record)
            d.tracker_.apply(record_, 0ms, clock());
    }

    // A daemon that begins to lead reads the record before it writes one.
    void keep_record(std::size_t i)
    {
        daemon& d = daemons_[i];
        if (i != leader_ || d.leads_from_ < d.started_at_) {
            leader_ = i;
            d.leads_from_ = now_ + election_time;
        }
        if (now_ < d.leads_from_ || now_ % record_period != 0ms)
            return;
        read_record(d);
        record_.quarantined_ = d.tracker_.state(clock()).quarantined_;
    }

    simulation_options options_;
    variant variant_;
    std::mt19937_64 random_;
    std::vector<daemon> daemons_;
    std::vector<host> hosts_;
    std::vector<request> requests_;
    std::deque<message> messages_;
    part_report record_;
    double crashing_per_second_ = 0;
    milliseconds now_{0};
    milliseconds all_stop_every_{0};
    std::vector<milliseconds> hosts_end_at_;
    milliseconds all_stopped_at_ = -1h;
    std::size_t leader_ = 0;
    std::map<prompt_part, knowledge> known_;
    int sent_ = 0;
    int rejected_ = 0;
    std::size_t judged_ = 0;
    std::size_t judged_rejected_ = 0;
    std::uint64_t last_id_ = 0;
};

} // namespace monsoondock::crashes::test
