#include "shutdown_cover.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::entry::pvt;
using namespace std::chrono_literals;
using membership::entry_mode;
using membership::member_state;

namespace {

const base::time_point start{1000s};


base::daemon_id name_of(unsigned number)
{
    return {"d" + std::to_string(number)};
}


membership::member make_member(
    unsigned number,
    member_state state,
    base::time_point since,
    entry_mode mode = entry_mode::draining)
{
    membership::member m;
    m.record_.id_ = name_of(number);
    m.record_.state_ = state;
    m.record_.status_.entry_mode_ = mode;
    m.state_changed_at_ = since;
    return m;
}


void add(membership::member_table& members, membership::member m)
{
    members[m.record_.id_] = std::move(m);
}


/// Returns when a daemon of a rolling stop gets its signal: two every 0.5 s.
base::time_point stop_time(unsigned number)
{
    return start + number / 2 * 500ms;
}


/// What daemon self knows when all eight have got their signal. Its peers'
/// shutdowns reach it 2 ms later.
membership::member_table peers_that_stop(unsigned self)
{
    membership::member_table members;
    for (unsigned n = 0; n < 8; ++n) {
        if (n != self)
            add(members,
                make_member(n, member_state::leaving, stop_time(n) + 2ms));
    }
    return members;
}


std::set<base::daemon_id> names(std::initializer_list<unsigned> numbers)
{
    std::set<base::daemon_id> result;
    for (const unsigned n : numbers)
        result.insert(name_of(n));
    return result;
}

} // namespace


// Eight daemons got SIGTERM within 2 s. From 2.3 s on each of them rejected its
// callers, and the first was ready again after 4 s.
Test(all_daemons_stop_together, the_later_half_goes_on_accepting)
{
    for (unsigned self = 0; self < 8; ++self)
        cr_assert(
            covering_daemons(
                peers_that_stop(self),
                stopping_daemon{name_of(self), stop_time(self)},
                start + 2s) == names({4, 5, 6, 7}));
}


// Were all to go on until one is ready, none would be before the end of the
// grace period.
Test(all_daemons_stop_together, signals_at_once_leave_one_that_ends)
{
    for (unsigned self = 0; self < 2; ++self) {
        membership::member_table members;
        add(members, make_member(1 - self, member_state::leaving, start + 2ms));
        cr_assert(
            covering_daemons(
                members, stopping_daemon{name_of(self), start}, start + 1s) ==
            names({1}));
    }
}


Test(all_daemons_stop_together, the_last_one_waits_for_those_that_restart)
{
    membership::member_table members;
    add(members, make_member(0, member_state::dead, start + 3s));
    const stopping_daemon self{name_of(1), start + 500ms};
    cr_assert(covering_daemons(members, self, start + 4s) == names({1}));
    cr_assert(covering_daemons(members, self, start + 20s).empty());
}


Test(
    all_daemons_stop_together,
    a_started_daemon_covers_nothing_before_it_is_ready)
{
    membership::member_table members;
    add(members, make_member(0, member_state::alive, start + 4s));
    add(members, make_member(1, member_state::leaving, start + 500ms));
    add(members, make_member(2, member_state::dead, start + 3s));
    cr_assert(
        covering_daemons(members, std::nullopt, start + 4s) == names({1}));
}


Test(all_daemons_stop_together, a_ready_daemon_ends_the_cover)
{
    membership::member_table members = peers_that_stop(7);
    add(members,
        make_member(0, member_state::alive, start + 4s, entry_mode::open));
    cr_assert(
        covering_daemons(
            members, stopping_daemon{name_of(7), stop_time(7)}, start + 4s)
            .empty());
}


// Nobody takes over from a daemon that has no peers, however long it waits.
Test(all_daemons_stop_together, a_daemon_without_peers_ends_as_usual)
{
    cr_assert(
        covering_daemons({}, stopping_daemon{name_of(0), start}, start + 1s)
            .empty());
}


// Callers went on to use the addresses of stopping daemons for 2 s after the
// first daemon was ready again, and were rejected.
Test(all_daemons_stop_together, callers_soon_ask_for_daemons_that_are_ready)
{
    cr_assert(directory_ttl(true, 2s) <= 300ms);
    cr_assert(directory_ttl(true, 100ms) == 100ms);
    cr_assert(directory_ttl(false, 2s) == 2s);
}


namespace {

base::time_point
next_ready_for(unsigned self, const membership::member_table& members)
{
    return next_ready(members, {name_of(self), start}, 2300ms, start + 3s);
}

} // namespace


// Callers were told to come back after 50 ms while no daemon was ready, and
// were rejected again.
Test(all_daemons_stop_together, rejected_callers_learn_when_a_daemon_is_ready)
{
    membership::member_table members;
    // The only daemon ends and starts again.
    cr_assert(next_ready_for(0, members) == start + 4s);
    // Of two, the one that stopped first ends first.
    add(members, make_member(1, member_state::leaving, start + 2s));
    cr_assert(next_ready_for(0, members) == start + 4s);
    cr_assert(next_ready_for(2, members) == start + 4s);
    // One has ended before.
    add(members, make_member(3, member_state::dead, start + 2500ms));
    cr_assert(next_ready_for(0, members) == start + 3500ms);
    // One has started, and is not ready yet.
    add(members, make_member(4, member_state::alive, start + 2500ms));
    cr_assert(next_ready_for(0, members) == start + 3250ms);
    add(members, make_member(5, member_state::alive, start, entry_mode::open));
    cr_assert(next_ready_for(0, members) == start + 3s);
}


// The daemons that cover for others end only when one is ready.
Test(all_daemons_stop_together, the_end_of_a_covering_daemon_is_not_awaited)
{
    membership::member_table members;
    add(members, make_member(1, member_state::leaving, start - 1s));
    const stopping_daemon self{name_of(0), start};
    // Daemon 1 has still to end, and the time at which it does is not known.
    cr_assert(next_ready(members, self, 2300ms, start + 3s) == start + 4s);
    cr_assert(next_ready(members, self, 2300ms, start + 6s) == start + 7s);
    // Only those are left that did not come back.
    members.clear();
    add(members, make_member(1, member_state::dead, start + 1s));
    cr_assert(next_ready(members, self, 2300ms, start + 6s) == start + 6250ms);
}
