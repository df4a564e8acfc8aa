#include "member_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoondock::membership::pvt {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/// Claim that the member is in State.
template <member_state State>
struct claimed
{
    incarnation incarnation_;
};

using claimed_alive = claimed<member_state::alive>;
using claimed_suspect = claimed<member_state::suspect>;
using claimed_leaving = claimed<member_state::leaving>;
using claimed_dead = claimed<member_state::dead>;


/// Puts a new machine into the state that is held.
template <member_state State>
struct restored
{};


/// No probe of the member was answered.
struct probe_failed
{};


/// The member did not refute a suspicion in time.
struct suspicion_expired
{};


/// The claim is of a later life or refutation than what is held.
struct newer
{
    template <class Event, class Machine, class Source, class Target>
    bool
    operator()(const Event& event, Machine& machine, Source&, Target&) const
    {
        return event.incarnation_ > machine.held_;
    }
};


/// The claim is not outdated.
struct not_older
{
    template <class Event, class Machine, class Source, class Target>
    bool
    operator()(const Event& event, Machine& machine, Source&, Target&) const
    {
        return event.incarnation_ >= machine.held_;
    }
};


struct machine_front : msm::front::state_machine_def<machine_front>
{
    // A machine lives for one event, so it needs no queue.
    using no_message_queue = int;
    using no_exception_thrown = int;

    struct fresh : msm::front::state<>
    {};
    struct alive : msm::front::state<>
    {};
    struct suspect : msm::front::state<>
    {};
    struct leaving : msm::front::state<>
    {};
    struct dead : msm::front::state<>
    {};

    using initial_state = fresh;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<fresh, restored<member_state::alive>, alive>,
        Row<fresh, restored<member_state::suspect>, suspect>,
        Row<fresh, restored<member_state::leaving>, leaving>,
        Row<fresh, restored<member_state::dead>, dead>,
        Row<alive, claimed_alive, alive, none, newer>,
        Row<alive, claimed_suspect, suspect, none, not_older>,
        Row<alive, claimed_leaving, leaving, none, not_older>,
        Row<alive, claimed_dead, suspect, none, not_older>,
        Row<alive, probe_failed, suspect>,
        Row<suspect, claimed_alive, alive, none, newer>,
        Row<suspect, claimed_suspect, suspect, none, newer>,
        Row<suspect, claimed_leaving, leaving, none, not_older>,
        Row<suspect, claimed_dead, dead, none, not_older>,
        Row<suspect, suspicion_expired, dead>,
        Row<leaving, claimed_alive, alive, none, newer>,
        Row<leaving, claimed_suspect, suspect, none, newer>,
        Row<leaving, claimed_leaving, leaving, none, newer>,
        Row<leaving, claimed_dead, dead, none, not_older>,
        Row<leaving, probe_failed, dead>,
        Row<dead, claimed_alive, alive, none, newer>,
        Row<dead, claimed_suspect, suspect, none, newer>,
        Row<dead, claimed_leaving, leaving, none, newer>,
        Row<dead, claimed_dead, dead, none, newer>
    > {};
    // clang-format on

    /// An event without a row in the present state changes nothing.
    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int)
    {}

    incarnation held_;
};

using machine = msm::back::state_machine<machine_front>;


/// Position of each state in the machine: MSM numbers them in the order of
/// the first column of the table.
constexpr int FIRST_MEMBER_STATE = 1;


machine restore(member_state state, incarnation held)
{
    machine made;
    made.start();
    made.held_ = held;
    switch (state) {
    case member_state::alive:
        made.process_event(restored<member_state::alive>{});
        break;
    case member_state::suspect:
        made.process_event(restored<member_state::suspect>{});
        break;
    case member_state::leaving:
        made.process_event(restored<member_state::leaving>{});
        break;
    case member_state::dead:
        made.process_event(restored<member_state::dead>{});
        break;
    }
    return made;
}


template <class Event>
std::optional<member_state> step(machine& from, const Event& event)
{
    if (from.process_event(event) != msm::back::HANDLED_TRUE)
        return std::nullopt;
    const int position = from.current_state()[0] - FIRST_MEMBER_STATE;
    return static_cast<member_state>(position);
}

} // namespace

std::optional<member_state>
after_claim(const member_claim& held, const member_claim& claim)
{
    machine from = restore(held.state_, held.incarnation_);
    switch (claim.state_) {
    case member_state::alive:
        return step(from, claimed_alive{claim.incarnation_});
    case member_state::suspect:
        return step(from, claimed_suspect{claim.incarnation_});
    case member_state::leaving:
        return step(from, claimed_leaving{claim.incarnation_});
    case member_state::dead:
        return step(from, claimed_dead{claim.incarnation_});
    }
    return std::nullopt;
}


std::optional<member_state> after_failed_probe(member_state held)
{
    machine from = restore(held, {});
    return step(from, probe_failed{});
}


std::optional<member_state> after_suspicion_timeout(member_state held)
{
    machine from = restore(held, {});
    return step(from, suspicion_expired{});
}

} // namespace monsoondock::membership::pvt
