#include "fake_hosts_test.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

// Simulates member churn as reported from deployments, and prints the share of
// the demand that the planner's open groups could serve in time:
//   placement_bench [SEEDS [NEEDED_LARGE NEEDED_SMALL]]
// NEEDED_... is the number of hosts that the requests of the model keep busy.

namespace {

using namespace monsoondock;
using namespace monsoondock::placement;
using namespace std::chrono_literals;

constexpr unsigned domain_count = 6;
constexpr unsigned hosts_per_domain = 10;
constexpr auto simulated_time = 34s;
constexpr auto detection_time = 600ms;
constexpr auto entry_ttl = 3500ms;
constexpr auto domain_outage_time = 8s;


struct scheduled_event
{
    std::chrono::milliseconds time_;
    std::function<void()> action_;
};


/// Returns the share of requests that are served in time when the groups are
/// utilised to this degree; an approximation of measurements.
double in_time_share(double utilisation)
{
    if (utilisation <= 0.6)
        return 1.0;
    if (utilisation >= 1.3)
        return 0.35;
    return 1.0 - (utilisation - 0.6) * 0.65 / 0.7;
}


struct result
{
    double large_ = 0;
    double small_ = 0;
    unsigned loads_ = 0;
    unsigned orders_ = 0;
};


class churn_simulation
{
public:
    churn_simulation(unsigned seed, double large, double small)
        : random_(seed), hosts_(two_models())
    {
        hosts_.close_time_ = 1500ms;
        needed_ = {{"large", large}, {"small", small}};
        for (unsigned d = 0; d < domain_count; ++d) {
            for (unsigned h = 0; h < hosts_per_domain; ++h)
                hosts_.add(host_name(d, h), "d" + std::to_string(d));
        }
    }


    result run_simulation()
    {
        planner p({"llm"}, {}, [this] { return ++epoch_; });
        hosts_.input_.before_traffic_ = true;
        hosts_.run(p, 6s);
        hosts_.input_.before_traffic_ = false;
        hosts_.input_.needed_hosts_ = needed_;
        const unsigned initial_loads = hosts_.loads_started_;
        schedule_events();
        result r;
        unsigned steps = 0;
        for (std::chrono::milliseconds t = 0ms; t < simulated_time;
             t += 100ms) {
            while (!events_.empty() && events_.front().time_ <= t) {
                const scheduled_event e = events_.front();
                events_.erase(events_.begin());
                e.action_();
            }
            hosts_.run(p, 100ms);
            r.large_ += served_share("large", 4);
            r.small_ += served_share("small", 2);
            ++steps;
        }
        r.large_ /= steps;
        r.small_ /= steps;
        r.loads_ = hosts_.loads_started_ - initial_loads;
        r.orders_ = hosts_.orders_;
        if (hosts_.joins_while_open_ + hosts_.opens_before_ready_ > 0)
            std::cout << "order rule violated\n";
        return r;
    }

private:
    static std::string host_name(unsigned d, unsigned h)
    {
        return "d" + std::to_string(d) + "-" + std::to_string(h);
    }


    double served_share(const std::string& model, unsigned size)
    {
        const double hosts = hosts_.open_groups(model) * size;
        return hosts == 0 ? 0 : in_time_share(needed_[model] / hosts);
    }


    void schedule_at(std::chrono::milliseconds t, std::function<void()> action)
    {
        const auto position =
            std::find_if(events_.begin(), events_.end(), [&](const auto& e) {
                return e.time_ > t;
            });
        events_.insert(position, {t, std::move(action)});
    }


    void crash_host(std::chrono::milliseconds t, const std::string& id)
    {
        hosts_.crash(id);
        schedule_at(t + detection_time, [this, id] {
            hosts_.input_.unreachable_.insert({id});
        });
        schedule_at(t + entry_ttl, [this, id] { hosts_.remove_entry(id); });
    }


    void crash_two_members(std::chrono::milliseconds t, unsigned data_centre)
    {
        std::vector<std::string> members;
        for (const auto& [id, h] : hosts_.hosts_) {
            const unsigned d = id.value_[1] - '0';
            if (d / 2 == data_centre && h.role_ &&
                !crashed_hosts_.contains(id.value_))
                members.push_back(id.value_);
        }
        std::shuffle(members.begin(), members.end(), random_);
        for (std::size_t i = 0; i < 2 && i < members.size(); ++i) {
            crashed_hosts_.insert(members[i]);
            crash_host(t, members[i]);
        }
    }


    void fail_domain(std::chrono::milliseconds t, unsigned d)
    {
        for (unsigned h = 0; h < hosts_per_domain; ++h) {
            const std::string id = host_name(d, h);
            if (crashed_hosts_.contains(id) || !hosts_.hosts_.contains({id}))
                continue;
            const auto entry = hosts_.hosts_.at({id});
            crash_host(t, id);
            schedule_at(
                t + domain_outage_time +
                    std::chrono::milliseconds(random_() % 400),
                [this, id, entry] {
                    hosts_.hosts_[{id}] = entry;
                    hosts_.restart(id);
                    hosts_.input_.unreachable_.erase({id});
                });
        }
    }


    void schedule_events()
    {
        for (int i = 0; i < 10; ++i) {
            const auto t =
                3s + 2600ms * i + std::chrono::milliseconds(random_() % 800);
            const unsigned data_centre = random_() % 3;
            if (i == 3) {
                const unsigned d = random_() % domain_count;
                schedule_at(t, [=, this] { fail_domain(t, d); });
                continue;
            }
            schedule_at(t, [=, this] { crash_two_members(t, data_centre); });
        }
        for (int i = 0; i < 6; ++i) {
            const auto t = 12s + 3300ms * i;
            const unsigned d = random_() % domain_count;
            for (int n = 0; n < 2; ++n)
                schedule_at(t + n * 500ms, [=, this] {
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
    std::set<std::string> crashed_hosts_;
    std::vector<scheduled_event> events_;
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
        const result r = churn_simulation(seed, large, small).run_simulation();
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
