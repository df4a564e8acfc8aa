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
    board.add({7, {"a"}, false}, start);
    board.add({7, {"a"}, false}, start);
    board.add({7, {"b"}, false}, start);
    cr_assert_eq(board.crashes(7, start), 2);
    cr_assert_eq(board.crashes(8, start), 0);
}


Test(crash_board, forgets_after_its_retention)
{
    relay::crash_board board;
    board.add({7, {"a"}, false}, start);
    cr_assert_eq(
        board.crashes(7, start + relay::crash_board::retention + 1s), 0);
}


Test(crash_board, holds_a_bounded_number_of_requests)
{
    relay::crash_board board;
    for (std::uint64_t i = 0; i <= relay::crash_board::max_entries; ++i)
        board.add({i, {"a"}, false}, start);
    cr_assert_eq(board.crashes(relay::crash_board::max_entries, start), 1);
}


// Found by the soak, seeds 22 and 24: many callers send the same request, and
// upstreams that fell for other reasons made all of them refused.
Test(crash_board, a_whole_answer_clears_a_request)
{
    relay::crash_board board;
    board.add({7, {"a"}, false}, start);
    cr_assert(board.prove(7, start));
    cr_assert_not(board.prove(7, start));
    board.add({7, {"b"}, false}, start);
    board.add({7, {"c"}, false}, start);
    cr_assert_eq(board.crashes(7, start), 0);
}


Test(crash_board, a_peer_can_tell_that_a_request_is_harmless)
{
    relay::crash_board board;
    board.add({7, {"a"}, false}, start);
    board.add({7, {}, true}, start);
    cr_assert_eq(board.crashes(7, start), 0);
    cr_assert_not(board.prove(8, start));
}
