#include "member_machine.hpp"

#include <criterion/criterion.h>

using namespace monsoondock::membership;
using namespace monsoondock::membership::pvt;

namespace {

constexpr member_state ALL_STATES[] = {
    member_state::alive,
    member_state::suspect,
    member_state::leaving,
    member_state::dead};


/// An alive member that is called dead becomes suspect first.
member_state with_a_chance_to_refute(member_state held, member_state claimed)
{
    if (held == member_state::alive && claimed == member_state::dead)
        return member_state::suspect;
    return claimed;
}

} // namespace


Test(member_machine, a_lower_incarnation_never_changes_anything)
{
    for (const member_state held : ALL_STATES) {
        for (const member_state claimed : ALL_STATES)
            cr_assert(!after_claim({held, {5}}, {claimed, {4}}));
    }
}


Test(member_machine, a_higher_incarnation_sets_the_claimed_state)
{
    for (const member_state held : ALL_STATES) {
        for (const member_state claimed : ALL_STATES) {
            const auto next = after_claim({held, {5}}, {claimed, {6}});
            cr_assert(next == with_a_chance_to_refute(held, claimed));
        }
    }
}


Test(member_machine, an_equal_incarnation_only_makes_it_worse)
{
    for (const member_state held : ALL_STATES) {
        for (const member_state claimed : ALL_STATES) {
            const auto next = after_claim({held, {5}}, {claimed, {5}});
            if (claimed > held)
                cr_assert(next == with_a_chance_to_refute(held, claimed));
            else
                cr_assert(!next);
        }
    }
}


Test(member_machine, timeouts)
{
    cr_assert(after_failed_probe(member_state::alive) == member_state::suspect);
    cr_assert(after_failed_probe(member_state::leaving) == member_state::dead);
    cr_assert(!after_failed_probe(member_state::suspect));
    cr_assert(!after_failed_probe(member_state::dead));
    cr_assert(
        after_suspicion_timeout(member_state::suspect) == member_state::dead);
    cr_assert(!after_suspicion_timeout(member_state::alive));
}
