#include <monsoondock/admission/workspace_shares.hpp>

#include <criterion/criterion.h>

#include <string>

using namespace monsoondock;
using namespace monsoondock::admission;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};

} // namespace

// Guards against a share that is enforced although there is room for all.
Test(workspace_shares, nobody_is_over_its_share_while_all_are_admitted)
{
    workspace_shares shares;
    base::time_point now = start;
    for (int i = 0; i < 1000; ++i, now += 10ms) {
        shares.record(i % 10 == 0 ? "small" : "large", true, now);
        cr_assert_not(shares.is_over_share("large", now));
        cr_assert_not(shares.is_over_share("small", now));
    }
}


Test(workspace_shares, a_workspace_that_got_more_than_its_share_is_over_it)
{
    workspace_shares shares;
    base::time_point now = start;
    for (int i = 0; i < 300; ++i, now += 10ms) {
        shares.record("large", i % 2 == 0, now);
        if (i % 5 < 2)
            shares.record("small", i % 5 == 0, now);
    }
    cr_expect(shares.is_over_share("large", now));
    cr_expect_not(shares.is_over_share("small", now));
    cr_expect_not(shares.is_over_share("unknown", now));
}


// Guards against shares that stay lent when their owner needs them.
Test(workspace_shares, an_unused_share_is_lent_and_returned_within_a_second)
{
    workspace_shares shares;
    base::time_point now = start;
    // The other one is idle; all that is admitted goes to the first.
    for (int i = 0; i < 300; ++i, now += 10ms)
        shares.record("first", i % 2 == 0, now);
    cr_expect_not(shares.is_over_share("second", now));
    for (int i = 0; i < 100; ++i, now += 10ms) {
        shares.record("first", i % 4 == 0, now);
        shares.record("second", i % 4 == 1, now);
    }
    cr_expect(shares.is_over_share("first", now));
    cr_expect_not(shares.is_over_share("second", now));
}


Test(workspace_shares, weights_divide_what_is_admitted)
{
    workspace_shares shares;
    shares.set_weight("heavy", 3);
    base::time_point now = start;
    for (int i = 0; i < 400; ++i, now += 10ms) {
        shares.record("heavy", i % 2 == 0, now);
        shares.record("light", i % 2 == 1, now);
    }
    cr_expect(shares.is_over_share("light", now));
    cr_expect_not(shares.is_over_share("heavy", now));
}


// Guards against a workspace with much demand that is hardly served at all: the
// users' platform requires a quarter of what all get.
Test(workspace_shares, a_workspace_that_is_hardly_served_is_not_over_its_share)
{
    workspace_shares shares;
    base::time_point now = start;
    for (int i = 0; i < 3000; ++i, now += 10ms) {
        shares.record("large", i % 10 == 0, now);
        if (i % 20 == 0)
            shares.record("small-" + std::to_string(i / 20 % 10), true, now);
    }
    cr_expect_not(shares.is_over_share("large", now));
}
