#include <monsoondock/paths/host_check.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::paths;

// Guards against blaming a host for a cut link of this daemon.
Test(host_check, a_host_that_a_peer_reaches_is_not_blamed)
{
    host_check check{false, 3, 0, false, false, true};
    add_finding(check, peer_finding::not_reached);
    add_finding(check, peer_finding::unknown);
    cr_assert_eq(conclude(check, false), conclusion::pending);
    add_finding(check, peer_finding::reached);
    cr_assert_eq(conclude(check, false), conclusion::link_cut);
}


Test(host_check, a_host_that_no_peer_reaches_has_failed)
{
    host_check check{false, 2, 0, false, false, false};
    add_finding(check, peer_finding::unknown);
    add_finding(check, peer_finding::not_reached);
    cr_assert_eq(conclude(check, false), conclusion::host_failed);
}


Test(host_check, daemons_that_reach_no_host_blame_none)
{
    host_check check{false, 2, 0, false, false, false};
    add_finding(check, peer_finding::unknown);
    cr_assert_eq(conclude(check, false), conclusion::pending);
    cr_assert_eq(conclude(check, true), conclusion::unresolved);
}


Test(host_check, a_daemon_without_answers_goes_by_other_hosts)
{
    host_check check{false, 2, 0, false, false, true};
    cr_assert_eq(conclude(check, true), conclusion::host_failed);
    check.reached_ = true;
    cr_assert_eq(conclude(check, false), conclusion::reached);
}
