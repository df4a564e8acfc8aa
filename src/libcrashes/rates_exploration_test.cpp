#include "../libbase/first_violation_test.hpp"
#include "simulation_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::crashes::test;

namespace {

constexpr std::array<double, 4> rates{0.1, 1, 10, 1000};


// Few hosts, all of which end soon under requests that crash them, and daemons
// that are not disturbed.
simulation_options make_options()
{
    simulation_options options;
    options.hosts_ = 8;
    options.herds_ = 0;
    options.disturbed_ = false;
    options.repeats_ = true;
    options.others_per_second_ = 0.5;
    options.crashing_from_ = 10s;
    return options;
}


std::optional<std::string>
explore(std::uint64_t seeds, const simulation_options& options)
{
    return base::first_violation(seeds, [&](std::uint64_t seed) {
        return simulation(seed, options).run();
    });
}


// Explores all pairs of rates of sound requests and of those that crash hosts.
std::optional<std::string>
explore_rates(std::uint64_t seeds, simulation_options options)
{
    for (const double sound : rates) {
        for (const double crashing : rates) {
            options.sound_per_second_ = sound;
            options.crashing_per_second_ = crashing;
            // Enough for ten of the rarest requests.
            options.time_ = crashing < 1 ? 100s : 40s;
            if (const auto found = explore(seeds, options))
                return *found + " at " + std::to_string(sound) + " and " +
                       std::to_string(crashing) + " a second";
        }
    }
    return std::nullopt;
}


// One caller's sound requests begin together with those that crash hosts, so
// that none of their parts is known to be sound.
simulation_options make_unknown_parts()
{
    simulation_options options = make_options();
    options.others_per_second_ = 2;
    options.sound_from_ = 10s;
    options.crashing_from_ = 10500ms;
    options.sound_per_second_ = 4;
    options.crashing_per_second_ = 4;
    return options;
}


// All hosts end while no request of the caller has been completed yet.
simulation_options make_lost_hosts()
{
    simulation_options options = make_options();
    options.others_per_second_ = 2;
    options.sound_from_ = 10s;
    options.all_end_at_ = 10600ms;
    options.crashing_per_second_ = 0;
    options.time_ = 50s;
    options.min_sent_ = 2000;
    options.max_rejected_ = 0.4;
    return options;
}

} // namespace

// Guards against never rejecting a part that crashes hosts while too little
// else is completed to compare with (review/3).
Test(crashes_rates_exploration, a_crashing_part_is_stopped_at_every_rate)
{
    const auto found = explore_rates(10, make_options());
    cr_assert_not(found, "%s", found ? found->c_str() : "");
}


Test(crashes_rates_exploration, the_same_with_466_daemons)
{
    simulation_options options = make_options();
    options.daemons_ = 466;
    const auto found = explore_rates(1, options);
    cr_assert_not(found, "%s", found ? found->c_str() : "");
}


Test(crashes_rates_exploration, two_and_three_parts_at_once)
{
    for (std::size_t parts = 2; parts <= 3; ++parts) {
        simulation_options options = make_options();
        options.crashing_parts_ = parts;
        options.sound_per_second_ = 80;
        options.crashing_per_second_ = 3;
        const auto found = explore(40, options);
        cr_assert_not(found, "%s", found ? found->c_str() : "");
    }
}


// Guards against blaming a sound part because it was lost beside the one that
// crashes hosts (review/2).
Test(crashes_rates_exploration, sound_parts_that_are_new_are_not_blamed)
{
    const auto found = explore(100, make_unknown_parts());
    cr_assert_not(found, "%s", found ? found->c_str() : "");
}


// Guards against blaming a part for hosts that end for other reasons.
Test(crashes_rates_exploration, hosts_that_end_at_once_blame_nothing_for_long)
{
    for (const double sound : {1.0, 10.0, 80.0, 1000.0}) {
        simulation_options options = make_options();
        options.hosts_ = 40;
        options.herds_ = 6;
        options.sound_per_second_ = sound;
        options.crashing_per_second_ = 0;
        const auto found = explore(20, options);
        cr_assert_not(found, "%s", found ? found->c_str() : "");
    }
}


Test(crashes_rates_exploration, finds_blame_that_needs_other_traffic)
{
    simulation_options options = make_options();
    options.variant_ = variant::only_in_traffic;
    cr_assert(explore_rates(5, options));
}


Test(crashes_rates_exploration, finds_sets_whose_parts_are_blamed_one_by_one)
{
    simulation_options options = make_unknown_parts();
    options.variant_ = variant::single_parts;
    cr_assert(explore(20, options));
}


// Guards against rejecting sound requests for as long as none is sent that
// could show that they are.
Test(crashes_rates_exploration, a_quarantine_without_cause_ends_by_trials)
{
    cr_assert_not(explore(20, make_lost_hosts()));
}


Test(crashes_rates_exploration, finds_quarantines_without_trials)
{
    simulation_options options = make_lost_hosts();
    options.variant_ = variant::no_trials;
    cr_assert(explore(20, options));
}
