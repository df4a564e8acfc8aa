#include "../libbase/first_violation_test.hpp"
#include "simulation_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::crashes::test;

namespace {

std::optional<std::string>
explore(std::uint64_t seeds, const simulation_options& options)
{
    return base::first_violation(seeds, [&](std::uint64_t seed) {
        return simulation(seed, options).run();
    });
}


std::optional<std::string>
explore(std::uint64_t seeds, std::size_t daemons, variant v)
{
    simulation_options options;
    options.daemons_ = daemons;
    options.variant_ = v;
    return explore(seeds, options);
}

} // namespace

// Guards against sending requests to host after host while all that they have
// in common is one part of their prompts, under which the hosts crash.
Test(crashes_exploration, a_crashing_part_is_stopped_and_sound_requests_are_not)
{
    cr_assert_not(explore(400, 4, variant::correct));
}


Test(crashes_exploration, the_same_with_91_daemons)
{
    cr_assert_not(explore(40, 91, variant::correct));
}


Test(crashes_exploration, the_same_with_195_daemons)
{
    cr_assert_not(explore(25, 195, variant::correct));
}


Test(crashes_exploration, the_same_with_466_daemons)
{
    cr_assert_not(explore(12, 466, variant::correct));
}


Test(crashes_exploration, finds_crashes_counted_by_whole_requests)
{
    cr_assert(explore(20, 4, variant::by_request));
}


Test(crashes_exploration, finds_completions_that_clear_nothing)
{
    cr_assert(explore(20, 4, variant::no_survivors));
}


Test(crashes_exploration, finds_quarantines_that_are_not_repeated)
{
    cr_assert(explore(20, 4, variant::no_gossip));
}


Test(crashes_exploration, finds_quarantines_that_end_with_all_daemons)
{
    cr_assert(explore(200, 4, variant::no_record));
}
