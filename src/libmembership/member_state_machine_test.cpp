#include "member_state_machine.hpp"

#include <criterion/criterion.h>

using namespace monsoondock::membership;
using namespace monsoondock::membership::pvt;

namespace {

constexpr member_state ALL_STATES[] = {
    member_state::alive,
    member_state::suspect,
    member_state::leaving,
    member_state::dead};


/// An alive member that is claimed dead becomes suspect first, so that it can
/// refute.
member_state expected_state(member_state current, member_state claimed)
{
    if (current == member_state::alive && claimed == member_state::dead)
        return member_state::suspect;
    return claimed;
}

} // namespace


Test(member_state_machine, lower_incarnation_is_ignored)
{
    for (const member_state current : ALL_STATES) {
        for (const member_state claimed : ALL_STATES)
            cr_assert(!after_claim({current, {5}}, {claimed, {4}}));
    }
}


Test(member_state_machine, higher_incarnation_sets_claimed_state)
{
    for (const member_state current : ALL_STATES) {
        for (const member_state claimed : ALL_STATES) {
            const auto next = after_claim({current, {5}}, {claimed, {6}});
            cr_assert(next == expected_state(current, claimed));
        }
    }
}


Test(member_state_machine, equal_incarnation_only_moves_towards_dead)
{
    for (const member_state current : ALL_STATES) {
        for (const member_state claimed : ALL_STATES) {
            const auto next = after_claim({current, {5}}, {claimed, {5}});
            if (claimed > current)
                cr_assert(next == expected_state(current, claimed));
            else
                cr_assert(!next);
        }
    }
}


Test(member_state_machine, timeouts)
{
    cr_assert(after_failed_probe(member_state::alive) == member_state::suspect);
    cr_assert(after_failed_probe(member_state::leaving) == member_state::dead);
    cr_assert(!after_failed_probe(member_state::suspect));
    cr_assert(!after_failed_probe(member_state::dead));
    cr_assert(
        after_suspicion_timeout(member_state::suspect) == member_state::dead);
    cr_assert(!after_suspicion_timeout(member_state::alive));
}
