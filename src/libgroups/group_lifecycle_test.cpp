#include <monsoondock/groups/group_lifecycle.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::groups;


Test(group_lifecycle, applies_each_transition)
{
    using enum group_phase;
    using enum group_event;
    cr_assert(next_phase(forming, all_ready) == serving);
    cr_assert(next_phase(forming, member_lost) == retiring);
    cr_assert(next_phase(forming, retire_requested) == retiring);
    cr_assert(next_phase(serving, member_lost) == retiring);
    cr_assert(next_phase(serving, retire_requested) == retiring);
    cr_assert(next_phase(retiring, hosts_released) == retired);
}


Test(group_lifecycle, ignores_every_other_event)
{
    using enum group_phase;
    using enum group_event;
    cr_assert(!next_phase(forming, hosts_released));
    cr_assert(!next_phase(serving, hosts_released));
    cr_assert(!next_phase(serving, all_ready));
    for (const group_event e : {all_ready, member_lost, retire_requested}) {
        cr_assert(!next_phase(retiring, e));
        cr_assert(!next_phase(retired, e));
    }
    cr_assert(!next_phase(retired, hosts_released));
    cr_assert(may_follow(serving, serving));
    cr_assert(!may_follow(retired, serving));
    cr_assert(!may_follow(serving, retired));
}
