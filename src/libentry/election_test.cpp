#include "election.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};


// A leader whose latest heartbeat has just arrived.
pvt::leader_knowledge make_knowledge(std::size_t rank)
{
    pvt::leader_knowledge k;
    k.rank_ = rank;
    k.term_ = 3;
    k.started_at_ = start - 60s;
    k.last_heartbeat_at_ = start;
    k.store_contact_at_ = start;
    return k;
}

} // namespace


Test(election, a_leader_with_heartbeats_and_store_stays)
{
    for (std::size_t rank = 0; rank < 8; ++rank)
        cr_assert_not(
            pvt::is_election_due(make_knowledge(rank), start + 900ms));
}


Test(election, a_silent_leader_is_replaced_in_the_order_of_precedence)
{
    cr_assert(pvt::is_election_due(make_knowledge(0), start + 1001ms));
    cr_assert_not(pvt::is_election_due(make_knowledge(1), start + 1001ms));
    cr_assert(pvt::is_election_due(make_knowledge(1), start + 1251ms));
}


// Daemons of a large cluster went on sending requests to hosts that had left,
// because a leader that was cut off from the store kept the lead for 3.5 s.
Test(election, a_leader_without_the_store_is_replaced_within_the_drain_time)
{
    // Shortest drain time of the deployments with more than 16 daemons, less
    // the time to list the hosts and to tell all daemons.
    constexpr auto bound = 3000ms - 1000ms;
    pvt::leader_knowledge k = make_knowledge(1);
    k.store_contact_at_ = start - bound;
    cr_assert(pvt::is_election_due(k, start));
    k.store_contact_at_ = start - 1200ms;
    cr_assert_not(pvt::is_election_due(k, start));
}


Test(election, few_daemons_try_to_replace_a_leader_without_the_store)
{
    pvt::leader_knowledge k = make_knowledge(pvt::store_outage_candidates);
    k.store_contact_at_ = start - 60s;
    cr_assert_not(pvt::is_election_due(k, start));
}


Test(election, a_leader_that_resigned_is_replaced_at_once)
{
    pvt::leader_knowledge k = make_knowledge(0);
    k.resigned_ = true;
    cr_assert(pvt::is_election_due(k, start));
    k.rank_ = 2;
    cr_assert_not(pvt::is_election_due(k, start + 400ms));
    cr_assert(pvt::is_election_due(k, start + 500ms));
}


// Guards against orders of two leaders at the same time: an order was begun up
// to 0.5 s after the previous leader had confirmed its record and sent when the
// host accepted the connection, up to 0.3 s later, while its successor waited
// for 0.7 s.
Test(election, last_order_of_a_leader_precedes_the_first_of_its_successor)
{
    cr_assert(
        pvt::confirmation_validity + pvt::order_connect_timeout <
        pvt::takeover_delay);
}
