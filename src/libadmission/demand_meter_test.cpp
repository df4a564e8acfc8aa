#include <monsoondock/admission/demand_meter.hpp>
#include <monsoondock/admission/distribution.hpp>

#include <criterion/criterion.h>

#include <numeric>

using namespace monsoondock;
using namespace monsoondock::admission;
using namespace std::chrono_literals;

// Guards against urgencies that are counted the wrong way round.
Test(demand_meter, divides_the_load_by_urgency)
{
    demand_meter meter;
    base::time_point now{1h};
    // 10 a second of each of three priorities, at one of 4 daemons.
    for (int i = 0; i < 1000; ++i, now += 100ms) {
        for (const unsigned priority : {0U, 1U, 2U})
            meter.add(priority, priority == 2, now);
    }
    const urgent_load load = meter.load(1, 100, 4, now);
    cr_expect_float_eq(load.above_, 0.4, 0.02);
    cr_expect_float_eq(load.up_to_, 0.8, 0.04);
    cr_expect_float_eq(load.total_, 1.2, 0.06);
    cr_expect_float_eq(meter.refused_first_share(), 1 / 3.0, 0.01);
    // Guards against demand that is remembered after it has ended.
    cr_expect_lt(meter.load(1, 100, 4, now + 10s).total_, 0.01);
    cr_expect_eq(meter.load(1, 0, 4, now).total_, 0);
}


// Guards against requests that are lost or counted twice.
Test(distribution, fills_the_upstreams_with_the_fewest_requests_first)
{
    service_times t;
    t.slots_ = 10;
    const std::vector<upstream_load> upstreams{{t, 2}, {t, 30}, {t, 6}};
    const auto parts = distribute(upstreams, 10);
    cr_expect_float_eq(
        std::accumulate(parts.begin(), parts.end(), 0.0), 10, 1e-9);
    cr_expect_float_eq(parts[0], 7, 1e-9);
    cr_expect_float_eq(parts[1], 0, 1e-9);
    cr_expect_float_eq(parts[2], 3, 1e-9);
}
