#include <monsoondock/hostlimits/pause.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::hostlimits;
using namespace std::chrono_literals;

Test(pause, a_pause_is_a_number_of_seconds)
{
    cr_assert(parse_retry_after("2") == 2000ms);
    cr_assert(parse_retry_after("0.25") == 250ms);
    cr_assert(parse_retry_after("1e9") == std::nullopt);
    cr_assert(parse_retry_after("99999999999") == max_pause);
    for (const char* text : {"", "0", "-1", "nan", "inf", "soon", "2 s"})
        cr_assert(parse_retry_after(text) == std::nullopt, "%s", text);
}
