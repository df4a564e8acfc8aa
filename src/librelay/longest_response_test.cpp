#include "longest_response.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::pvt;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};


void add(
    longest_response& r,
    unsigned count,
    base::duration taken,
    base::time_point now)
{
    for (unsigned i = 0; i < count; ++i)
        r.add(taken, now);
}

} // namespace


Test(longest_response, few_responses_give_no_bound)
{
    longest_response r;
    add(r, longest_response::min_responses - 1, 1s, start);
    cr_assert_not(r.bound(start));
    r.add(1s, start);
    cr_assert(r.bound(start) == 1500ms);
}


Test(longest_response, a_single_long_response_counts)
{
    longest_response r;
    add(r, longest_response::min_responses, 1s, start);
    r.add(4s, start + 50s);
    add(r, longest_response::min_responses, 1s, start + 70s);
    cr_assert(r.bound(start + 70s) == 6s);
}


Test(longest_response, old_responses_are_forgotten)
{
    longest_response r;
    r.add(4s, start);
    add(r, longest_response::min_responses, 1s, start + 70s);
    add(r, longest_response::min_responses, 1s, start + 140s);
    cr_assert(r.bound(start + 140s) == 1500ms);
    cr_assert_not(r.bound(start + 300s));
}
