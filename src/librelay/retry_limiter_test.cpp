#include <monsoondock/relay/retry_limiter.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};


unsigned take_all_retries(
    relay::retry_limiter& limiter, unsigned daemons, base::time_point now)
{
    unsigned taken = 0;
    while (taken < 1000 && limiter.take_retry(daemons, now))
        ++taken;
    return taken;
}

} // namespace

// Daemons use 85 % of the limit; see usable_share in retry_limiter.cpp.

Test(retry_limiter, retries_follow_the_requests_of_the_window)
{
    relay::retry_limiter limiter({10s, 0.2, 0, {}});
    for (int i = 0; i < 100; ++i)
        limiter.add_request(start);
    cr_assert_eq(take_all_retries(limiter, 8, start), 17);
}


Test(retry_limiter, daemons_share_the_slack)
{
    relay::retry_limiter limiter({10s, 0.2, 104, {}});
    cr_assert_eq(take_all_retries(limiter, 8, start), 11);
    relay::retry_limiter alone({10s, 0.2, 104, {}});
    cr_assert_eq(take_all_retries(alone, 0, start), 88);
}


Test(retry_limiter, departed_daemons_share_the_slack_for_a_window)
{
    relay::retry_limiter limiter({10s, 0.2, 104, {}});
    cr_assert_eq(take_all_retries(limiter, 8, start), 11);
    cr_assert_eq(take_all_retries(limiter, 1, start + 9s), 0);
    cr_assert_eq(take_all_retries(limiter, 1, start + 22s), 88);
}


Test(retry_limiter, a_restarted_daemon_has_no_slack_for_a_window)
{
    relay::retry_limiter limiter({10s, 0.2, 104, start + 10s});
    cr_assert_eq(take_all_retries(limiter, 8, start), 0);
    cr_assert_eq(take_all_retries(limiter, 8, start + 10s), 11);
}


Test(retry_limiter, retries_before_the_window_do_not_count)
{
    relay::retry_limiter limiter({10s, 0.2, 10, {}});
    cr_assert_eq(take_all_retries(limiter, 1, start), 8);
    cr_assert_eq(take_all_retries(limiter, 1, start + 8s), 0);
    cr_assert_eq(take_all_retries(limiter, 1, start + 11s), 8);
}
