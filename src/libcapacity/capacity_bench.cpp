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

// Simulates five days of demand for each workload and compares the planner with
// a static split, a threshold rule and a clairvoyant policy that knows the
// future demand. Time is simulated and seeds are fixed, so runs are
// reproducible.

namespace {

namespace base = monsoondock::base;
namespace capacity = monsoondock::capacity;

using namespace std::chrono_literals;

constexpr auto step_length = 1min;
constexpr int steps_per_day = 24 * 60;
constexpr int days = 5;
constexpr int first_measured_day = 2;
// Time to drain a group, move its hosts and load the weights.
constexpr int load_steps = 6;
constexpr std::size_t hosts_per_group = 16;
constexpr double accelerators_per_group = 64;
constexpr std::size_t total_groups = 12;
constexpr double pi = 3.14159265358979;


// Demand of one deployment by step, in groups.
using demand_trace = std::vector<double>;

struct workload
{
    std::string name_;
    capacity::capacity_weights weights_;
    std::vector<demand_trace> traces_;
};


// Number of groups that each deployment should have at a step.
using group_counts = std::vector<std::size_t>;

using policy =
    std::function<group_counts(int step, const group_counts& current)>;

struct policy_result
{
    double downtime_group_hours_ = 0;
    double stranded_accelerator_hours_ = 0;
    int released_groups_ = 0;
};


double hour_of(int step)
{
    return static_cast<double>(step % steps_per_day) / 60.0;
}


// Trapezoidal profile between 0 and 1: high within the shift, with a ramp of
// half an hour at either end.
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


// Market days cause a burst whose start varies from day to day.
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


// Interactive load of two teams on day shift; report load peaks before the
// evening handover.
double sabarmati_interactive(int step)
{
    return 0.3 + 5 * shift(hour_of(step), 8, 17);
}


double sabarmati_reports(int step)
{
    return 0.2 + 5 * shift(hour_of(step), 15.5, 18.5);
}


std::vector<workload> make_workloads()
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


// Simulates a policy. New groups serve after the load time; released groups
// stop immediately.
policy_result run(const workload& load_case, const policy& choose)
{
    const std::size_t count = load_case.traces_.size();
    group_counts current(count, 1);
    std::vector<std::vector<int>> ready_at(count, {0});
    policy_result result;
    for (int step = 0; step < days * steps_per_day; ++step) {
        const group_counts requested = choose(step, current);
        const bool measured = step >= first_measured_day * steps_per_day;
        for (std::size_t d = 0; d < count; ++d) {
            auto& groups = ready_at[d];
            while (groups.size() > requested[d]) {
                groups.pop_back();
                result.released_groups_ += measured ? 1 : 0;
            }
            while (groups.size() < requested[d])
                groups.push_back(step + load_steps);
        }
        current = requested;
        double missing_groups = 0;
        double idle = 0;
        std::size_t free = total_groups;
        for (std::size_t d = 0; d < count; ++d) {
            const auto serving = std::count_if(
                ready_at[d].begin(), ready_at[d].end(), [&](int at) {
                    return at <= step;
                });
            const double need = std::ceil(load_case.traces_[d][step]);
            const auto have = static_cast<double>(serving);
            missing_groups += std::max(0.0, need - have);
            idle +=
                std::max(0.0, static_cast<double>(ready_at[d].size()) - need);
            free -= std::min(free, ready_at[d].size());
        }
        // Unallocated hosts count as stranded only while a deployment lacks
        // groups.
        idle += std::min(static_cast<double>(free), missing_groups);
        if (!measured)
            continue;
        result.downtime_group_hours_ += missing_groups / 60;
        result.stranded_accelerator_hours_ +=
            idle * accelerators_per_group / 60;
    }
    return result;
}


policy static_split()
{
    return [](int, const group_counts& current) {
        return group_counts(current.size(), total_groups / current.size());
    };
}


// Adds a group above 90 % utilisation and removes one if the rest would stay
// below 60 %, as an operator's script might.
policy threshold_rule(const workload& load_case)
{
    return [&load_case](int step, const group_counts& current) {
        group_counts next = current;
        for (std::size_t d = 0; d < current.size(); ++d) {
            const double load = load_case.traces_[d][step];
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
    capacity::allocation_state allocation_state_;
};


policy planner(const workload& load_case)
{
    auto state = std::make_shared<planner_state>();
    state->histories_.resize(load_case.traces_.size());
    return [&load_case, state](int step, const group_counts& current) {
        const base::time_point now{step * step_length};
        std::vector<capacity::allocation_request> requests;
        for (std::size_t d = 0; d < current.size(); ++d) {
            capacity::add_demand(
                state->histories_[d], load_case.traces_[d][step], now);
            capacity::allocation_request request;
            request.deployment_.value_ = std::to_string(d);
            request.forecast_ = capacity::forecast(
                state->histories_[d], now, load_steps * step_length);
            request.weights_ = load_case.weights_;
            request.hosts_per_group_ = hosts_per_group;
            request.min_groups_ = 0;
            request.max_groups_ = total_groups;
            request.current_groups_ = current[d];
            requests.push_back(std::move(request));
        }
        const auto delay = capacity::scale_down_delay(
            load_case.weights_, load_steps * step_length);
        group_counts next;
        for (const auto& a : capacity::allocate(
                 std::move(requests),
                 {total_groups * hosts_per_group, 0, delay},
                 state->allocation_state_,
                 now))
            next.push_back(a.groups_);
        return next;
    };
}


// Knows the future demand and has each group ready when it is needed.
policy clairvoyant(const workload& load_case)
{
    return [&load_case](int step, const group_counts& current) {
        group_counts next;
        std::size_t left = total_groups;
        for (std::size_t d = 0; d < current.size(); ++d) {
            double need = 0;
            const int last = days * steps_per_day - 1;
            for (int at = step; at <= std::min(step + load_steps, last); ++at)
                need = std::max(need, std::ceil(load_case.traces_[d][at]));
            const auto groups = std::min(left, static_cast<std::size_t>(need));
            next.push_back(groups);
            left -= groups;
        }
        return next;
    };
}


void print(
    const workload& load_case, const std::string& name, const policy_result& s)
{
    const double cost =
        load_case.weights_.group_downtime_ * s.downtime_group_hours_ +
        load_case.weights_.stranded_accelerators_ *
            s.stranded_accelerator_hours_ / accelerators_per_group;
    std::cout << "| " << load_case.name_ << " | " << name << " | " << std::fixed
              << std::setprecision(1) << s.downtime_group_hours_ << " | "
              << s.stranded_accelerator_hours_ << " | " << s.released_groups_
              << " | " << cost << " |\n";
}

} // namespace

int main()
{
    std::cout
        << "| workload | policy | group downtime, group hours | stranded, "
           "accelerator hours | groups released | weighted cost |\n"
           "|---|---|---|---|---|---|\n";
    for (const workload& load_case : make_workloads()) {
        print(load_case, "static split", run(load_case, static_split()));
        print(
            load_case, "thresholds", run(load_case, threshold_rule(load_case)));
        print(load_case, "planner", run(load_case, planner(load_case)));
        print(load_case, "clairvoyant", run(load_case, clairvoyant(load_case)));
    }
    return 0;
}
