#include "fake_hosts_test.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

// Plays the churn of members that deployments report against the planner and
// prints which share of the demand the open groups could serve in time:
//   placement_bench [SEEDS [NEEDED_LARGE NEEDED_SMALL]]
// NEEDED are the hosts that the requests of each model keep busy.

namespace {

using namespace monsoondock;
using namespace monsoondock::placement;
using namespace std::chrono_literals;

constexpr unsigned domains = 6;
constexpr unsigned hosts_of_domain = 10;
constexpr auto day = 34s;
constexpr auto detection = 600ms;
constexpr auto entry_lapse = 3500ms;
constexpr auto dark_time = 8s;


struct event
{
    std::chrono::milliseconds at_;
    std::function<void()> act_;
};


/// Share of requests in time at a use of the groups, roughly as measured.
double in_time(double use)
{
    if (use <= 0.6)
        return 1.0;
    if (use >= 1.3)
        return 0.35;
    return 1.0 - (use - 0.6) * 0.65 / 0.7;
}


struct result
{
    double large_ = 0;
    double small_ = 0;
    unsigned loads_ = 0;
    unsigned orders_ = 0;
};


class churn
{
public:
    churn(unsigned seed, double large, double small)
        : random_(seed), hosts_(two_models())
    {
        hosts_.close_time_ = 1500ms;
        needed_ = {{"large", large}, {"small", small}};
        for (unsigned d = 0; d < domains; ++d) {
            for (unsigned h = 0; h < hosts_of_domain; ++h)
                hosts_.add(name(d, h), "d" + std::to_string(d));
        }
    }


    result play()
    {
        planner p({"llm"}, {}, [this] { return ++epoch_; });
        hosts_.input_.before_traffic_ = true;
        hosts_.run(p, 6s);
        hosts_.input_.before_traffic_ = false;
        hosts_.input_.needed_hosts_ = needed_;
        const unsigned early = hosts_.loads_begun_;
        schedule();
        result r;
        unsigned steps = 0;
        for (std::chrono::milliseconds t = 0ms; t < day; t += 100ms) {
            while (!events_.empty() && events_.front().at_ <= t) {
                const event e = events_.front();
                events_.erase(events_.begin());
                e.act_();
            }
            hosts_.run(p, 100ms);
            r.large_ += served("large", 4);
            r.small_ += served("small", 2);
            ++steps;
        }
        r.large_ /= steps;
        r.small_ /= steps;
        r.loads_ = hosts_.loads_begun_ - early;
        r.orders_ = hosts_.orders_;
        if (hosts_.joins_of_open_groups_ + hosts_.early_opens_ > 0)
            std::cout << "RULE BROKEN\n";
        return r;
    }

private:
    static std::string name(unsigned d, unsigned h)
    {
        return "d" + std::to_string(d) + "-" + std::to_string(h);
    }


    double served(const std::string& model, unsigned size)
    {
        const double hosts = hosts_.open_groups(model) * size;
        return hosts == 0 ? 0 : in_time(needed_[model] / hosts);
    }


    void at(std::chrono::milliseconds t, std::function<void()> act)
    {
        const auto place =
            std::find_if(events_.begin(), events_.end(), [&](const auto& e) {
                return e.at_ > t;
            });
        events_.insert(place, {t, std::move(act)});
    }


    void lose(std::chrono::milliseconds t, const std::string& id)
    {
        hosts_.silence(id);
        at(t + detection,
           [this, id] { hosts_.input_.unreachable_.insert({id}); });
        at(t + entry_lapse, [this, id] { hosts_.unlist(id); });
    }


    void lose_two(std::chrono::milliseconds t, unsigned centre)
    {
        std::vector<std::string> grouped;
        for (const auto& [id, h] : hosts_.hosts_) {
            const unsigned d = id.value_[1] - '0';
            if (d / 2 == centre && h.role_ && !lost_.contains(id.value_))
                grouped.push_back(id.value_);
        }
        std::shuffle(grouped.begin(), grouped.end(), random_);
        for (std::size_t i = 0; i < 2 && i < grouped.size(); ++i) {
            lost_.insert(grouped[i]);
            lose(t, grouped[i]);
        }
    }


    void darken(std::chrono::milliseconds t, unsigned d)
    {
        for (unsigned h = 0; h < hosts_of_domain; ++h) {
            const std::string id = name(d, h);
            if (lost_.contains(id) || !hosts_.hosts_.contains({id}))
                continue;
            const auto entry = hosts_.hosts_.at({id});
            lose(t, id);
            at(t + dark_time + std::chrono::milliseconds(random_() % 400),
               [this, id, entry] {
                   hosts_.hosts_[{id}] = entry;
                   hosts_.restart(id);
                   hosts_.input_.unreachable_.erase({id});
               });
        }
    }


    void schedule()
    {
        for (int i = 0; i < 10; ++i) {
            const auto t =
                3s + 2600ms * i + std::chrono::milliseconds(random_() % 800);
            const unsigned centre = random_() % 3;
            if (i == 3) {
                const unsigned d = random_() % domains;
                at(t, [=, this] { darken(t, d); });
                continue;
            }
            at(t, [=, this] { lose_two(t, centre); });
        }
        for (int i = 0; i < 6; ++i) {
            const auto t = 12s + 3300ms * i;
            const unsigned d = random_() % domains;
            for (int n = 0; n < 2; ++n)
                at(t + n * 500ms, [=, this] {
                    hosts_.add(
                        "d" + std::to_string(d) + "-n" + std::to_string(i) +
                            std::to_string(n),
                        "d" + std::to_string(d));
                });
        }
    }

    std::mt19937 random_;
    fake_hosts hosts_;
    std::map<std::string, double> needed_;
    std::uint64_t epoch_ = 0;
    std::set<std::string> lost_;
    std::vector<event> events_;
};

} // namespace

int main(int argc, char** argv)
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    const unsigned seeds = argc > 1 ? unsigned(std::atoi(argv[1])) : 40;
    const double large = argc > 3 ? std::atof(argv[2]) : 16;
    const double small = argc > 3 ? std::atof(argv[3]) : 16;
    result sum;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const result r = churn(seed, large, small).play();
        sum.large_ += r.large_ / seeds;
        sum.small_ += r.small_ / seeds;
        sum.loads_ += r.loads_;
        sum.orders_ += r.orders_;
    }
    std::cout << "served in time: large " << sum.large_ << " small "
              << sum.small_ << " mean " << (sum.large_ + sum.small_) / 2
              << " loads " << sum.loads_ / seeds << " orders "
              << sum.orders_ / seeds << '\n';
    return 0;
}
