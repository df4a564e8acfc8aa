#include "explored_world_test.hpp"

#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>

using namespace monsoondock::groups::test;

namespace {

constexpr milliseconds run_length{40000};
constexpr std::uint64_t schedules = 4000;
constexpr std::uint64_t schedules_for_mutants = 2000;


std::optional<std::string>
explore(std::uint64_t seed, const mechanisms& m, const fault_list& faults)
{
    world w(seed, m);
    return w.run(faults, run_length);
}


/// Leaves out ever smaller parts of the faults while the run still fails.
fault_list shrink(std::uint64_t seed, const mechanisms& m, fault_list faults)
{
    for (std::size_t part = faults.size(); part > 0; part /= 2) {
        std::size_t begin = 0;
        while (begin < faults.size()) {
            fault_list fewer = faults;
            const auto from =
                fewer.begin() + static_cast<std::ptrdiff_t>(begin);
            const auto length = std::min(part, faults.size() - begin);
            fewer.erase(from, from + static_cast<std::ptrdiff_t>(length));
            if (explore(seed, m, fewer))
                faults = std::move(fewer);
            else
                begin += part;
        }
    }
    return faults;
}


void print_failure(const char* name, std::uint64_t seed, const mechanisms& m)
{
    const fault_list faults = shrink(seed, m, make_faults(seed, run_length));
    const auto violation = explore(seed, m, faults);
    std::printf(
        "%s: seed %llu: %s\n%s"
        "  again with MONSOONDOCK_EXPLORE_SEED=%llu\n",
        name,
        static_cast<unsigned long long>(seed),
        violation ? violation->c_str() : "only with all faults",
        describe(faults).c_str(),
        static_cast<unsigned long long>(seed));
}


std::uint64_t first_seed()
{
    const char* text = std::getenv("MONSOONDOCK_EXPLORE_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}


std::uint64_t seed_count(std::uint64_t usual)
{
    const char* text = std::getenv("MONSOONDOCK_EXPLORE_COUNT");
    if (text != nullptr)
        return std::strtoull(text, nullptr, 10);
    return std::getenv("MONSOONDOCK_EXPLORE_SEED") == nullptr ? usual : 1;
}


void add(coverage& sum, const coverage& part)
{
    sum.accepted_ += part.accepted_;
    sum.refused_ += part.refused_;
    sum.formed_ += part.formed_;
    sum.released_ += part.released_;
    sum.terms_ += part.terms_;
}


/// Runs half of the schedules; all invariants must hold, and the runs must
/// have reached every interesting state often.
void expect_all_hold(std::uint64_t skipped)
{
    coverage sum;
    const std::uint64_t count = seed_count(schedules / 2);
    const bool replay = std::getenv("MONSOONDOCK_EXPLORE_SEED") != nullptr;
    const std::uint64_t begin = first_seed() + (replay ? 0 : skipped);
    for (std::uint64_t s = begin; s < begin + count; ++s) {
        world w(s, {});
        const auto violation = w.run(make_faults(s, run_length), run_length);
        if (violation)
            print_failure("all mechanisms", s, {});
        cr_assert(!violation, "seed %lu: %s", s, violation->c_str());
        add(sum, w.seen());
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


/// Returns the first seed that shows a broken invariant.
std::optional<std::uint64_t>
find_failure(const mechanisms& m, std::uint64_t count)
{
    for (std::uint64_t s = first_seed(); s < first_seed() + count; ++s) {
        if (explore(s, m, make_faults(s, run_length)))
            return s;
    }
    return std::nullopt;
}


void expect_caught(const char* name, const mechanisms& m)
{
    const auto seed = find_failure(m, seed_count(schedules_for_mutants));
    cr_assert(seed.has_value(), "%s was not caught", name);
    print_failure(name, *seed, m);
}

} // namespace


Test(exploration, invariants_hold_in_the_first_half)
{
    expect_all_hold(0);
}


Test(exploration, invariants_hold_in_the_second_half)
{
    expect_all_hold(schedules / 2);
}


Test(exploration, dispatch_without_the_lease_check_is_caught)
{
    mechanisms m;
    m.lease_ = false;
    expect_caught("no lease check", m);
}


Test(exploration, dispatch_without_generations_is_caught)
{
    mechanisms m;
    m.fencing_ = false;
    expect_caught("no fencing", m);
}


Test(exploration, leader_that_does_not_wait_is_caught)
{
    mechanisms m;
    m.term_wait_ = false;
    expect_caught("no waiting for the old term", m);
}


Test(exploration, release_that_does_not_wait_is_caught)
{
    mechanisms m;
    m.release_wait_ = false;
    expect_caught("no waiting before release", m);
}


Test(exploration, two_objects_for_one_domain_are_caught)
{
    mechanisms m;
    m.one_object_ = false;
    expect_caught("two objects", m);
}
