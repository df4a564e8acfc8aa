#include <monsoondock/base/retry_delay.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::base;
using namespace std::chrono_literals;

namespace {

constexpr retry_bounds bounds{100ms, 1000ms};

} // namespace

Test(retry_delay, doubles_up_to_the_maximum)
{
    cr_assert(retry_delay(0, bounds, 0.5) == 100ms);
    cr_assert(retry_delay(2, bounds, 0.5) == 400ms);
    cr_assert(retry_delay(4, bounds, 0.5) == 1000ms);
    cr_assert(retry_delay(4000, bounds, 0.5) == 1000ms);
}


Test(retry_delay, jitter_ranges_from_half_to_one_and_a_half)
{
    cr_assert(retry_delay(0, bounds, 0) == 50ms);
    cr_assert(retry_delay(0, bounds, 0.99) == 149ms);
}
