#include <monsoondock/capacity/allocation.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

// Drives the planner on injected time over five days of demand for each user
// and compares it with a static split, a rule on thresholds, and a bound that
// knows the demand. Seeds are fixed, so a run repeats exactly.

namespace {

namespace base = monsoondock::base;
namespace capacity = monsoondock::capacity;

using namespace std::chrono_literals;

constexpr auto step_length = 1min;
constexpr int steps_per_day = 24 * 60;
constexpr int days = 5;
constexpr int counted_from_day = 2;
// Time to drain a group, move its hosts and load the weights.
constexpr int load_steps = 6;
constexpr std::size_t hosts_per_group = 16;
constexpr double accelerators_per_group = 64;
constexpr std::size_t total_groups = 12;
constexpr double pi = 3.14159265358979;


// Demand of one deployment by step, in groups.
using demand_trace = std::vector<double>;

struct user_case
{
    std::string name_;
    capacity::capacity_weights weights_;
    std::vector<demand_trace> traces_;
};


// Groups that each deployment should have at a step.
using target = std::vector<std::size_t>;

using policy = std::function<target(int step, const target& current)>;

struct score
{
    double downtime_group_hours_ = 0;
    double stranded_accelerator_hours_ = 0;
    int moves_ = 0;
};


double hour_of(int step)
{
    return static_cast<double>(step % steps_per_day) / 60.0;
}


// Between 0 and 1: high inside the shift, with slopes of half an hour.
double shift(double hour, double from, double to)
{
    const double rise = std::clamp((hour - from) * 2, 0.0, 1.0);
    const double fall = std::clamp((to - hour) * 2, 0.0, 1.0);
    return std::min(rise, fall);
}


demand_trace
make_trace(std::uint64_t seed, const std::function<double(int step)>& shape)
{
    std::mt19937_64 random(seed);
    std::normal_distribution<double> noise(0.0, 0.06);
    demand_trace trace;
    double drift = 0;
    for (int step = 0; step < days * steps_per_day; ++step) {
        drift = 0.97 * drift + noise(random);
        trace.push_back(std::max(0.0, shape(step) * (1 + drift)));
    }
    return trace;
}


// Market days bring a burst at an hour that moves from day to day.
double resinas_interactive(int step)
{
    const int day = step / steps_per_day;
    const double hour = hour_of(step);
    const double burst = shift(hour, 9.0 + 0.4 * (day % 3), 11.5);
    return 2 + 2 * shift(hour, 6, 18) + 4 * burst;
}


double resinas_drafts(int step)
{
    return 1.5 + 1.5 * std::sin(pi * hour_of(step) / 24);
}


// Two teams on day shift; reports fill up before the evening handover.
double sabarmati_interactive(int step)
{
    return 0.3 + 5 * shift(hour_of(step), 8, 17);
}


double sabarmati_reports(int step)
{
    return 0.2 + 5 * shift(hour_of(step), 15.5, 18.5);
}


std::vector<user_case> make_cases()
{
    return {
        {"resinas",
         {4, 1},
         {make_trace(11, resinas_interactive), make_trace(12, resinas_drafts)}},
        {"sabarmati",
         {1, 3},
         {make_trace(21, sabarmati_interactive),
          make_trace(22, sabarmati_reports)}}};
}


// A change of groups takes effect only after the load time; a group that is
// given up stops at once.
score run(const user_case& user, const policy& choose)
{
    const std::size_t count = user.traces_.size();
    target owned(count, 1);
    std::vector<std::vector<int>> ready_at(count, {0});
    score result;
    for (int step = 0; step < days * steps_per_day; ++step) {
        const target wanted = choose(step, owned);
        const bool counted = step >= counted_from_day * steps_per_day;
        for (std::size_t d = 0; d < count; ++d) {
            auto& groups = ready_at[d];
            while (groups.size() > wanted[d]) {
                groups.pop_back();
                result.moves_ += counted ? 1 : 0;
            }
            while (groups.size() < wanted[d])
                groups.push_back(step + load_steps);
        }
        owned = wanted;
        double lacking = 0;
        double idle = 0;
        std::size_t free = total_groups;
        for (std::size_t d = 0; d < count; ++d) {
            const auto serving = std::count_if(
                ready_at[d].begin(), ready_at[d].end(), [&](int at) {
                    return at <= step;
                });
            const double need = std::ceil(user.traces_[d][step]);
            const auto have = static_cast<double>(serving);
            lacking += std::max(0.0, need - have);
            idle +=
                std::max(0.0, static_cast<double>(ready_at[d].size()) - need);
            free -= std::min(free, ready_at[d].size());
        }
        // Free hosts are stranded only while somebody lacks a group.
        idle += std::min(static_cast<double>(free), lacking);
        if (!counted)
            continue;
        result.downtime_group_hours_ += lacking / 60;
        result.stranded_accelerator_hours_ +=
            idle * accelerators_per_group / 60;
    }
    return result;
}


policy static_split()
{
    return [](int, const target& current) {
        return target(current.size(), total_groups / current.size());
    };
}


// One group more than the demand of now needs when it is nearly full, one
// less when it is nearly empty: what an operator's script would do.
policy threshold_rule(const user_case& user)
{
    return [&user](int step, const target& current) {
        target next = current;
        for (std::size_t d = 0; d < current.size(); ++d) {
            const double load = user.traces_[d][step];
            const auto have = static_cast<double>(current[d]);
            if (load > 0.9 * have)
                ++next[d];
            else if (load < 0.6 * (have - 1) && next[d] > 1)
                --next[d];
        }
        std::size_t sum = 0;
        for (std::size_t& n : next) {
            n = std::min(n, total_groups - std::min(total_groups, sum));
            sum += n;
        }
        return next;
    };
}


struct planner_state
{
    std::vector<capacity::demand_history> histories_;
    capacity::allocation_memory memory_;
};


policy planner(const user_case& user)
{
    auto state = std::make_shared<planner_state>();
    state->histories_.resize(user.traces_.size());
    return [&user, state](int step, const target& current) {
        const base::time_point now{step * step_length};
        std::vector<capacity::contender> contenders;
        for (std::size_t d = 0; d < current.size(); ++d) {
            capacity::add_demand(
                state->histories_[d], user.traces_[d][step], now);
            capacity::contender c;
            c.deployment_.value_ = std::to_string(d);
            c.forecast_ = capacity::forecast(
                state->histories_[d], now, load_steps * step_length);
            c.weights_ = user.weights_;
            c.hosts_per_group_ = hosts_per_group;
            c.min_groups_ = 0;
            c.max_groups_ = total_groups;
            c.current_groups_ = current[d];
            contenders.push_back(std::move(c));
        }
        const auto delay =
            capacity::shrink_delay(user.weights_, load_steps * step_length);
        target next;
        for (const auto& a : capacity::allocate(
                 std::move(contenders),
                 {total_groups * hosts_per_group, 0, delay},
                 state->memory_,
                 now))
            next.push_back(a.groups_);
        return next;
    };
}


// Knows the demand: has each group ready just when it is needed.
policy clairvoyant(const user_case& user)
{
    return [&user](int step, const target& current) {
        target next;
        std::size_t left = total_groups;
        for (std::size_t d = 0; d < current.size(); ++d) {
            double need = 0;
            const int last = days * steps_per_day - 1;
            for (int at = step; at <= std::min(step + load_steps, last); ++at)
                need = std::max(need, std::ceil(user.traces_[d][at]));
            const auto groups = std::min(left, static_cast<std::size_t>(need));
            next.push_back(groups);
            left -= groups;
        }
        return next;
    };
}


void print(const user_case& user, const std::string& name, const score& s)
{
    const double cost =
        user.weights_.group_downtime_ * s.downtime_group_hours_ +
        user.weights_.stranded_accelerators_ * s.stranded_accelerator_hours_ /
            accelerators_per_group;
    std::cout << "| " << user.name_ << " | " << name << " | " << std::fixed
              << std::setprecision(1) << s.downtime_group_hours_ << " | "
              << s.stranded_accelerator_hours_ << " | " << s.moves_ << " | "
              << cost << " |\n";
}

} // namespace

int main()
{
    std::cout << "| user | policy | group downtime, group hours | stranded, "
                 "accelerator hours | groups given up | weighted cost |\n"
                 "|---|---|---|---|---|---|\n";
    for (const user_case& user : make_cases()) {
        print(user, "static split", run(user, static_split()));
        print(user, "thresholds", run(user, threshold_rule(user)));
        print(user, "planner", run(user, planner(user)));
        print(user, "clairvoyant", run(user, clairvoyant(user)));
    }
    return 0;
}
