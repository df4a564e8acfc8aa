#include <monsoondock/admission/refused_requests.hpp>
#include <monsoondock/admission/usual_deadline.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::admission;
using namespace std::chrono_literals;

Test(refused_requests, are_remembered_for_a_time)
{
    refused_requests refused;
    const base::time_point now{1h};
    refused.add(7, now);
    cr_expect(refused.contains(7, now + refused_requests::memory));
    cr_expect_not(refused.contains(7, now + refused_requests::memory + 1ms));
    cr_expect_not(refused.contains(8, now));
}


// Guards against memory that grows with the refusals.
Test(refused_requests, are_bounded)
{
    refused_requests refused;
    const base::time_point now{1h};
    for (std::uint64_t i = 0; i <= refused_requests::max_requests; ++i)
        refused.add(i, now);
    cr_expect_not(refused.contains(0, now));
    cr_expect(refused.contains(1, now));
    cr_expect(refused.contains(refused_requests::max_requests, now));
}


Test(usual_deadline, recognises_callers_that_return_to_another_daemon)
{
    usual_deadline usual;
    for (unsigned i = 0; i < usual_deadline::period; ++i) {
        cr_expect_not(usual.is_returned(milliseconds{7000}));
        usual.add(milliseconds{i % 2 == 0 ? 8000.0 : 6000.0 + 30 * i});
    }
    cr_expect(usual.is_returned(milliseconds{7000}));
    cr_expect_not(usual.is_returned(milliseconds{8000}));
    cr_expect_not(usual.is_returned(milliseconds{7990}));
    // Shorter than that of a caller that returns once.
    cr_expect_not(usual.is_returned(milliseconds{3000}));
}


// Guards against callers with a short deadline that count as returned.
Test(usual_deadline, there_is_none_among_callers_with_different_deadlines)
{
    usual_deadline usual;
    for (unsigned i = 0; i < usual_deadline::period; ++i)
        usual.add(milliseconds{5000.0 + 100 * (i % 16)});
    cr_expect_not(usual.is_returned(milliseconds{5500}));
}
