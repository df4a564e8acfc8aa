#include "server_session_test.hpp"

#include <criterion/criterion.h>

using namespace monsoondock::traffic::test;

namespace {

constexpr int many_requests = 60;
// With a limit of 0.01 requests a second: one and a half times what it allows
// in 4 s, and 5 more; from the users' rule on limits of hosts.
constexpr int allowed_requests = 5;

} // namespace

// Guards against sending a group its usual share of requests although it has
// named a limit in its responses.
Test(host_limit, a_group_gets_no_more_than_it_accepts)
{
    server_session s;
    s.first_.set_limit("0.01");
    for (int i = 0; i < many_requests; ++i)
        cr_expect(s.complete_chat("p" + std::to_string(i)).complete_);
    cr_expect_leq(s.first_.requests(), allowed_requests);
}


// Guards against sending requests to a group that has rejected one and asked
// for rest.
Test(host_limit, a_group_that_asks_for_rest_gets_nothing_during_it)
{
    server_session s;
    s.publish(monsoondock::base::time_point::max(), 1);
    s.first_.set_rest("60");
    for (int i = 0; i < many_requests; ++i) {
        cr_expect_eq(s.complete_chat("p" + std::to_string(i)).status_, 503);
        s.confirm_groups();
    }
    cr_expect_eq(s.first_.requests(), 1);
}


// Guards against the same when there is no other group.
Test(host_limit, callers_are_rejected_when_all_groups_are_at_their_limit)
{
    server_session s;
    s.publish(monsoondock::base::time_point::max(), 1);
    s.first_.set_limit("0.01");
    int rejected = 0;
    for (int i = 0; i < many_requests; ++i)
        rejected += s.complete_chat("p").status_ == 503 ? 1 : 0;
    cr_expect_leq(s.first_.requests(), allowed_requests);
    cr_expect_eq(rejected, many_requests - s.first_.requests());
}
