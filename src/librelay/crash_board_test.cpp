#include <monsoondock/relay/crash_board.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};

} // namespace

Test(crash_board, counts_the_upstreams_that_fell_not_the_reports)
{
    relay::crash_board board;
    board.add({7, {"a"}}, start);
    board.add({7, {"a"}}, start);
    board.add({7, {"b"}}, start);
    cr_assert_eq(board.crashes(7, start), 2);
    cr_assert_eq(board.crashes(8, start), 0);
}


Test(crash_board, forgets_after_its_retention)
{
    relay::crash_board board;
    board.add({7, {"a"}}, start);
    cr_assert_eq(
        board.crashes(7, start + relay::crash_board::retention + 1s), 0);
}


Test(crash_board, holds_a_bounded_number_of_requests)
{
    relay::crash_board board;
    for (std::uint64_t i = 0; i <= relay::crash_board::max_entries; ++i)
        board.add({i, {"a"}}, start);
    cr_assert_eq(board.crashes(relay::crash_board::max_entries, start), 1);
}
