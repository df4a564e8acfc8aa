// Hosts that are partitioned from the store, while requests still reach them:
// their entries lapse and come back some seconds later.

#include "host_removal.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds drain_time{4000};


fleet::host_info make_member(fleet::group_phase phase)
{
    fleet::host_info h;
    h.id_ = {"h"};
    h.role_ = fleet::group_role{{"g1", 1}, 0, phase};
    return h;
}

} // namespace

Test(host_removal, members_of_serving_groups_outlast_a_short_partition)
{
    for (const auto phase :
         {fleet::group_phase::open, fleet::group_phase::ready})
        cr_assert(
            pvt::removal_delay(make_member(phase), drain_time) ==
            drain_time - pvt::removal_spread);
}


Test(host_removal, all_daemons_stop_sending_within_the_drain_time)
{
    for (const auto drain : {0ms, 500ms, 2000ms, 4000ms}) {
        const auto delay =
            pvt::removal_delay(make_member(fleet::group_phase::open), drain);
        cr_assert(delay >= 0ms);
        cr_assert(delay == 0ms || delay + pvt::removal_spread <= drain);
    }
}


Test(host_removal, other_hosts_are_removed_at_once)
{
    fleet::host_info free;
    free.id_ = {"h"};
    cr_assert(pvt::removal_delay(free, drain_time) == 0ms);
    fleet::host_info draining = make_member(fleet::group_phase::open);
    draining.draining_ = true;
    cr_assert(pvt::removal_delay(draining, drain_time) == 0ms);
    for (const auto phase :
         {fleet::group_phase::joining,
          fleet::group_phase::closing,
          fleet::group_phase::broken})
        cr_assert(pvt::removal_delay(make_member(phase), drain_time) == 0ms);
}
