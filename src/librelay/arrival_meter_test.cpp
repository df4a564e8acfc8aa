#include <monsoondock/relay/arrival_meter.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};

} // namespace

Test(arrival_meter, estimates_a_steady_rate)
{
    arrival_meter meter;
    for (int i = 0; i < 200; ++i)
        meter.add(start + i * 100ms);
    const double rate = meter.rate_per_second(start + 20s);
    cr_assert_gt(rate, 9);
    cr_assert_lt(rate, 11);
}


Test(arrival_meter, the_rate_decays_to_zero)
{
    arrival_meter meter;
    cr_assert_eq(meter.rate_per_second(start), 0);
    meter.add(start);
    cr_assert_lt(meter.rate_per_second(start + 20s), 0.001);
}
