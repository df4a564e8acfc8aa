#include "simulation_test.hpp"

#include <criterion/criterion.h>

#include <array>
#include <cstdio>
#include <functional>
#include <optional>

using namespace monsoondock::admission;
using namespace monsoondock::admission::test;

namespace {

using outcomes = std::map<std::string, outcome>;

// Value of a late response as a part of that of one on time; a quarter on the
// users' platform.
constexpr double late_value = 0.25;
constexpr std::uint64_t seeds = 4;


double part(std::size_t n, const outcome& o)
{
    return double(n) / double(o.callers_);
}


double served(const outcome& o)
{
    return part(o.on_time_ + o.late_, o);
}


double value(const outcome& o)
{
    return part(o.on_time_, o) + late_value * part(o.late_, o);
}


request_kind make_kind(const std::string& name, double load)
{
    request_kind kind;
    kind.name_ = name;
    kind.workspace_ = name;
    kind.load_ = load;
    return kind;
}


simulation_options make_options(std::vector<request_kind> kinds)
{
    simulation_options options;
    options.kinds_ = std::move(kinds);
    options.daemons_ = 58;
    options.groups_ = 12;
    options.report_age_ = milliseconds{200};
    options.time_ = milliseconds{30000};
    return options;
}


/// Returns what is wrong with the outcome of a simulation, if anything.
using check = std::function<std::optional<std::string>(
    const outcomes&, const simulation&)>;


std::string describe(const outcomes& all)
{
    std::string text;
    for (const auto& [name, o] : all) {
        std::array<char, 160> line{};
        std::snprintf(
            line.data(),
            line.size(),
            " %s: %zu callers, on time %.3f, late %.3f, unserved %.3f",
            name.c_str(),
            o.callers_,
            part(o.on_time_, o),
            part(o.late_, o),
            part(o.unserved_, o));
        text += line.data();
    }
    return text;
}


// Returns true when a simulation with one of the seeds is found to be wrong.
bool finds_fault(simulation_options options, variant v, const check& is_wrong)
{
    options.variant_ = v;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed_ = seed;
        simulation s(options);
        const outcomes all = s.run();
        const auto fault = is_wrong(all, s);
        std::printf(
            "variant %d seed %d: %s;%s; %zu returned at once\n",
            int(v),
            int(seed),
            fault.value_or("correct").c_str(),
            describe(all).c_str(),
            s.most_returns());
        if (fault)
            return true;
    }
    return false;
}


simulation_options burst_on_periodic_load()
{
    request_kind kind = make_kind("all", 0.6);
    kind.variation_ = 0.3;
    kind.burst_ = 2.4;
    kind.burst_begin_ = milliseconds{10000};
    kind.burst_end_ = milliseconds{14000};
    return make_options({kind});
}


std::optional<std::string>
check_burst(const outcomes& all, const simulation& /*s*/)
{
    if (value(all.at("all")) < 0.78)
        return "the burst makes too many responses late";
    if (part(all.at("all").unserved_, all.at("all")) > 0.15)
        return "more callers are refused than the burst exceeds the capacity";
    return std::nullopt;
}


// Ten workspaces of normal size, and one that sends ten times its share of the
// capacity.
simulation_options one_greedy_workspace()
{
    std::vector<request_kind> kinds;
    for (int i = 0; i < 10; ++i) {
        request_kind kind = make_kind("normal", 0.06);
        kind.workspace_ = "normal-" + std::to_string(i);
        kinds.push_back(kind);
    }
    kinds.push_back(make_kind("greedy", 0.9));
    return make_options(kinds);
}


std::optional<std::string>
check_shares(const outcomes& all, const simulation& /*s*/)
{
    const outcome& normal = all.at("normal");
    const outcome& greedy = all.at("greedy");
    if (served(normal) < 0.9)
        return "workspaces within their share are not served";
    const double served_of_all =
        double(
            normal.on_time_ + normal.late_ + greedy.on_time_ + greedy.late_) /
        double(normal.callers_ + greedy.callers_);
    if (served(greedy) < served_of_all / 4)
        return "a workspace over its share is served less than a quarter as "
               "often as all";
    return std::nullopt;
}


// A short burst, most of which is refused at the same time.
simulation_options short_burst()
{
    request_kind kind = make_kind("all", 0.8);
    kind.burst_ = 12;
    kind.burst_begin_ = milliseconds{5000};
    kind.burst_end_ = milliseconds{5400};
    return make_options({kind});
}


std::optional<std::string>
check_returns(const outcomes& /*all*/, const simulation& s)
{
    if (s.most_returns() > 50)
        return "refused callers return together";
    return std::nullopt;
}


simulation_options large_beside_small()
{
    request_kind small = make_kind("small", 1.2);
    small.prompt_tokens_ = 500;
    request_kind large = make_kind("large", 0.06);
    large.prompt_tokens_ = 9000;
    large.workspace_ = small.workspace_;
    return make_options({small, large});
}


std::optional<std::string>
check_sizes(const outcomes& all, const simulation& /*s*/)
{
    if (served(all.at("large")) < 0.9 * served(all.at("small")))
        return "large prompts are served less often than small ones";
    return std::nullopt;
}


simulation_options less_urgent_beside_urgent()
{
    request_kind urgent = make_kind("urgent", 0.7);
    request_kind other = make_kind("other", 0.7);
    other.priority_ = 1;
    other.target_ = milliseconds{1000};
    return make_options({urgent, other});
}


std::optional<std::string>
check_urgency(const outcomes& all, const simulation& /*s*/)
{
    const outcome& urgent = all.at("urgent");
    const outcome& other = all.at("other");
    if (served(urgent) < 0.95 * served(other))
        return "less urgent requests are served better";
    if (part(urgent.on_time_, urgent) < 0.95 * part(other.on_time_, other))
        return "less urgent requests are more often on time";
    return std::nullopt;
}


simulation_options old_reports()
{
    simulation_options options = make_options({make_kind("all", 1.15)});
    options.report_age_ = milliseconds{300};
    return options;
}


std::optional<std::string>
check_old_reports(const outcomes& all, const simulation& /*s*/)
{
    if (part(all.at("all").on_time_, all.at("all")) < 0.45)
        return "the queues are longer than the target allows";
    if (served(all.at("all")) < 0.8)
        return "slots are left free";
    return std::nullopt;
}

} // namespace

// Guards against queues that make all responses late during a burst and long
// after it.
Test(admission_load, a_burst_of_2_4_times_on_periodic_load)
{
    cr_assert_not(
        finds_fault(burst_on_periodic_load(), variant::correct, check_burst));
}


Test(admission_load, a_burst_finds_requests_that_are_all_admitted)
{
    cr_assert(
        finds_fault(burst_on_periodic_load(), variant::admit_all, check_burst));
}


// Guards against refusing callers of all workspaces because one sends too much.
Test(admission_load, one_workspace_at_ten_times_its_share)
{
    cr_assert_not(
        finds_fault(one_greedy_workspace(), variant::correct, check_shares));
}


Test(admission_load, a_greedy_workspace_finds_missing_shares)
{
    cr_assert(
        finds_fault(one_greedy_workspace(), variant::no_shares, check_shares));
}


// Guards against refused callers that return together and are refused again.
Test(admission_load, refused_callers_return_spread_over_time)
{
    cr_assert_not(finds_fault(short_burst(), variant::correct, check_returns));
}


Test(admission_load, simultaneous_returns_are_found)
{
    cr_assert(finds_fault(short_burst(), variant::same_return, check_returns));
}


// Guards against refusing requests because their prompts are large.
Test(admission_load, large_prompts_beside_small_ones)
{
    cr_assert_not(
        finds_fault(large_beside_small(), variant::correct, check_sizes));
}


Test(admission_load, large_prompts_find_refusals_by_size)
{
    cr_assert(
        finds_fault(large_beside_small(), variant::refuse_large, check_sizes));
}


// Guards against refusing urgent requests that the engine would start before
// the waiting ones.
Test(admission_load, a_less_urgent_kind_beside_an_urgent_one)
{
    cr_assert_not(finds_fault(
        less_urgent_beside_urgent(), variant::correct, check_urgency));
}


Test(admission_load, urgent_requests_find_missing_priorities)
{
    cr_assert(finds_fault(
        less_urgent_beside_urgent(), variant::no_priorities, check_urgency));
}


// Guards against daemons that together admit far more than there is room for,
// or leave slots free, because they see the same old loads.
Test(admission_load, daemons_58_that_decide_from_reports_300_ms_old)
{
    cr_assert_not(
        finds_fault(old_reports(), variant::correct, check_old_reports));
}


Test(admission_load, old_reports_find_the_limit_by_queue_length)
{
    cr_assert(
        finds_fault(old_reports(), variant::previous_limit, check_old_reports));
}


// Guards against refusals of callers who could be served: below its capacity
// the system refuses nobody.
Test(admission_load, nobody_is_refused_below_the_capacity)
{
    simulation s(make_options({make_kind("all", 0.85)}));
    const outcomes all = s.run();
    cr_assert_eq(all.at("all").refusals_, 0);
}


// Guards against predictions that are too optimistic: four of five responses
// begin within the predicted time.
Test(admission_load, responses_begin_as_predicted)
{
    simulation s(make_options({make_kind("all", 1.1)}));
    const outcome all = s.run().at("all");
    cr_expect_geq(
        double(all.as_predicted_), 0.75 * double(all.on_time_ + all.late_));
}
