#include "simulation_test.hpp"

#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>

using namespace monsoondock::groups::test;

namespace {

constexpr milliseconds simulated_time{40000};
constexpr std::uint64_t schedules = 4000;
constexpr std::uint64_t schedules_per_safeguard = 2000;


std::optional<std::string> run_seed(
    std::uint64_t seed, const safeguards& enabled, const fault_list& faults)
{
    simulation sim(seed, enabled);
    return sim.run(faults, simulated_time);
}


/// Minimises a failing fault list: removes ever smaller parts of it as long as
/// the run still fails.
fault_list
shrink(std::uint64_t seed, const safeguards& enabled, fault_list faults)
{
    for (std::size_t part = faults.size(); part > 0; part /= 2) {
        std::size_t begin = 0;
        while (begin < faults.size()) {
            fault_list fewer = faults;
            const auto from =
                fewer.begin() + static_cast<std::ptrdiff_t>(begin);
            const auto length = std::min(part, faults.size() - begin);
            fewer.erase(from, from + static_cast<std::ptrdiff_t>(length));
            if (run_seed(seed, enabled, fewer))
                faults = std::move(fewer);
            else
                begin += part;
        }
    }
    return faults;
}


void print_failure(
    const char* name, std::uint64_t seed, const safeguards& enabled)
{
    const fault_list faults =
        shrink(seed, enabled, make_faults(seed, simulated_time));
    const auto violation = run_seed(seed, enabled, faults);
    std::printf(
        "%s: seed %llu: %s\n%s"
        "  reproduce with MONSOONDOCK_EXPLORE_SEED=%llu\n",
        name,
        static_cast<unsigned long long>(seed),
        violation ? violation->c_str()
                  : "no violation after minimising the faults",
        describe(faults).c_str(),
        static_cast<unsigned long long>(seed));
}


std::uint64_t first_seed()
{
    const char* text = std::getenv("MONSOONDOCK_EXPLORE_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}


std::uint64_t seed_count(std::uint64_t default_count)
{
    const char* text = std::getenv("MONSOONDOCK_EXPLORE_COUNT");
    if (text != nullptr)
        return std::strtoull(text, nullptr, 10);
    return std::getenv("MONSOONDOCK_EXPLORE_SEED") == nullptr ? default_count
                                                              : 1;
}


void add(coverage& sum, const coverage& part)
{
    sum.accepted_ += part.accepted_;
    sum.refused_ += part.refused_;
    sum.formed_ += part.formed_;
    sum.released_ += part.released_;
    sum.terms_ += part.terms_;
}


/// Runs half of the schedules. All invariants must hold, and the minimum counts
/// below guard against runs that exercise too little of the protocol.
void expect_invariants_hold(std::uint64_t skipped)
{
    coverage sum;
    const std::uint64_t count = seed_count(schedules / 2);
    const bool replay = std::getenv("MONSOONDOCK_EXPLORE_SEED") != nullptr;
    const std::uint64_t begin = first_seed() + (replay ? 0 : skipped);
    for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
        simulation sim(seed, {});
        const auto violation =
            sim.run(make_faults(seed, simulated_time), simulated_time);
        if (violation)
            print_failure("all safeguards", seed, {});
        cr_assert(!violation, "seed %lu: %s", seed, violation->c_str());
        add(sum, sim.reached());
    }
    std::printf(
        "%llu schedules: %zu dispatches accepted, %zu refused, %zu groups "
        "formed, %zu released, %zu terms\n",
        static_cast<unsigned long long>(count),
        sum.accepted_,
        sum.refused_,
        sum.formed_,
        sum.released_,
        sum.terms_);
    cr_assert(sum.accepted_ > 20 * count);
    cr_assert(sum.formed_ > 3 * count);
    cr_assert(sum.released_ > count);
    cr_assert(sum.terms_ > 3 * count);
}


/// Returns the first seed whose run violates an invariant.
std::optional<std::uint64_t>
find_failure(const safeguards& enabled, std::uint64_t count)
{
    for (std::uint64_t seed = first_seed(); seed < first_seed() + count;
         ++seed) {
        if (run_seed(seed, enabled, make_faults(seed, simulated_time)))
            return seed;
    }
    return std::nullopt;
}


void expect_violation(const char* name, const safeguards& enabled)
{
    const auto seed =
        find_failure(enabled, seed_count(schedules_per_safeguard));
    cr_assert(seed.has_value(), "%s: no seed violated an invariant", name);
    print_failure(name, *seed, enabled);
}

} // namespace


Test(exploration, invariants_hold_in_the_first_half)
{
    expect_invariants_hold(0);
}


Test(exploration, invariants_hold_in_the_second_half)
{
    expect_invariants_hold(schedules / 2);
}


Test(exploration, dispatch_without_the_lease_check_is_caught)
{
    safeguards enabled;
    enabled.lease_check_ = false;
    expect_violation("no lease check", enabled);
}


Test(exploration, dispatch_without_generations_is_caught)
{
    safeguards enabled;
    enabled.fencing_ = false;
    expect_violation("no fencing", enabled);
}


Test(exploration, leader_that_does_not_wait_is_caught)
{
    safeguards enabled;
    enabled.term_wait_ = false;
    expect_violation("no wait for the previous term", enabled);
}


Test(exploration, release_that_does_not_wait_is_caught)
{
    safeguards enabled;
    enabled.release_wait_ = false;
    expect_violation("no wait before release", enabled);
}


Test(exploration, two_records_for_one_domain_are_caught)
{
    safeguards enabled;
    enabled.single_record_ = false;
    expect_violation("two records for one domain", enabled);
}
