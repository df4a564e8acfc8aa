#include "simulation_test.hpp"

#include <criterion/criterion.h>

#include <cstdio>

using namespace monsoondock::settings;

namespace {

constexpr std::uint64_t SEEDS = 600;
constexpr int STEPS = 250;


struct violation
{
    std::uint64_t seed_;
    std::string description_;
};


std::optional<violation> explore(exploration::explored_options options)
{
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        exploration::simulation simulation(seed, options);
        if (auto failure = simulation.run(STEPS))
            return violation{seed, *failure};
    }
    return std::nullopt;
}


void expect_violation(
    exploration::explored_options options, const std::string& what)
{
    const auto found = explore(options);
    cr_assert(found.has_value());
    cr_assert(found->description_ == what, "%s", found->description_.c_str());
    // Not cr_log_warn, because Criterion counts a logged warning as a failure.
    std::printf(
        "violation found by seed %lu: %s\n",
        static_cast<unsigned long>(found->seed_),
        found->description_.c_str());
}

} // namespace


Test(exploration, every_schedule_keeps_the_invariants)
{
    const auto found = explore({});
    cr_assert(
        !found.has_value(),
        "seed %lu: %s",
        static_cast<unsigned long>(found->seed_),
        found->description_.c_str());
}


Test(exploration, a_short_head_history_keeps_the_invariants)
{
    exploration::explored_options options;
    for (const std::size_t limit : {3, 1}) {
        options.acceptance_.max_history_ = limit;
        const auto found = explore(options);
        cr_assert(
            !found.has_value(),
            "seed %lu: %s",
            static_cast<unsigned long>(found->seed_),
            found->description_.c_str());
    }
}


Test(exploration, applying_an_older_revision_is_detected)
{
    exploration::explored_options options;
    options.tracker_.refuse_older_ = false;
    expect_violation(options, "an older revision came into force");
}


Test(exploration, acceptance_without_reading_back_is_detected)
{
    exploration::explored_options options;
    options.acceptance_.read_back_ = false;
    expect_violation(options, "an edit reported as accepted was lost");
}
