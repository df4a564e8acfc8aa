#include "rejection_pause.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::relay::pvt;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};

} // namespace


// While no daemon was ready, rejected callers came back after 50 ms, and were
// rejected for good.
Test(rejection_pause, callers_wait_for_a_daemon_that_is_ready)
{
    const relay::drain_schedule covering{start + 2s, start + 7s, start + 5s};
    cr_assert(rejection_pause(covering, start + 3s) >= 500ms);
}


Test(rejection_pause, callers_go_to_other_daemons_at_once)
{
    const relay::drain_schedule alone{start + 2s, start + 7s};
    cr_assert(rejection_pause(alone, start + 3s) <= 50ms);
    const relay::drain_schedule covered{start + 2s, start + 7s, start + 5s};
    cr_assert(rejection_pause(covered, start + 6s) <= 50ms);
}
