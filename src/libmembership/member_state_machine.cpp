#include "member_state_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoondock::membership::pvt {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

/// Event: a peer claims that the member is in State.
template <member_state State>
struct claimed
{
    incarnation incarnation_;
};

using claimed_alive = claimed<member_state::alive>;
using claimed_suspect = claimed<member_state::suspect>;
using claimed_leaving = claimed<member_state::leaving>;
using claimed_dead = claimed<member_state::dead>;


/// Event: puts a new machine into the current state of the member.
template <member_state State>
struct restore_state
{};


/// Event: the member answered neither a direct nor an indirect probe.
struct probe_failed
{};


/// Event: the member did not refute a suspicion in time.
struct suspicion_expired
{};


/// Guard: the claim has a higher incarnation than the current one.
struct newer
{
    template <class Event, class Machine, class Source, class Target>
    bool
    operator()(const Event& event, Machine& machine, Source&, Target&) const
    {
        return event.incarnation_ > machine.current_incarnation_;
    }
};


/// Guard: the incarnation of the claim is not lower than the current one.
struct not_older
{
    template <class Event, class Machine, class Source, class Target>
    bool
    operator()(const Event& event, Machine& machine, Source&, Target&) const
    {
        return event.incarnation_ >= machine.current_incarnation_;
    }
};


struct machine_front : msm::front::state_machine_def<machine_front>
{
    // Each machine processes a single event, so it needs no queue.
    using no_message_queue = int;
    using no_exception_thrown = int;

    struct uninitialized : msm::front::state<>
    {};
    struct alive : msm::front::state<>
    {};
    struct suspect : msm::front::state<>
    {};
    struct leaving : msm::front::state<>
    {};
    struct dead : msm::front::state<>
    {};

    using initial_state = uninitialized;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<uninitialized, restore_state<member_state::alive>, alive>,
        Row<uninitialized, restore_state<member_state::suspect>, suspect>,
        Row<uninitialized, restore_state<member_state::leaving>, leaving>,
        Row<uninitialized, restore_state<member_state::dead>, dead>,
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

    /// Ignores an event without a row for the current state.
    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int)
    {}

    incarnation current_incarnation_;
};

using machine = msm::back::state_machine<machine_front>;


/// MSM numbers the states in the order of their first use in the first column
/// of the table; uninitialized comes first, then the states in the order of
/// member_state.
constexpr int FIRST_MEMBER_STATE = 1;


machine make_machine(member_state state, incarnation current)
{
    machine instance;
    instance.start();
    instance.current_incarnation_ = current;
    switch (state) {
    case member_state::alive:
        instance.process_event(restore_state<member_state::alive>{});
        break;
    case member_state::suspect:
        instance.process_event(restore_state<member_state::suspect>{});
        break;
    case member_state::leaving:
        instance.process_event(restore_state<member_state::leaving>{});
        break;
    case member_state::dead:
        instance.process_event(restore_state<member_state::dead>{});
        break;
    }
    return instance;
}


template <class Event>
std::optional<member_state> process(machine& instance, const Event& event)
{
    if (instance.process_event(event) != msm::back::HANDLED_TRUE)
        return std::nullopt;
    const int position = instance.current_state()[0] - FIRST_MEMBER_STATE;
    return static_cast<member_state>(position);
}

} // namespace

std::optional<member_state>
after_claim(const member_claim& current, const member_claim& claim)
{
    machine instance = make_machine(current.state_, current.incarnation_);
    switch (claim.state_) {
    case member_state::alive:
        return process(instance, claimed_alive{claim.incarnation_});
    case member_state::suspect:
        return process(instance, claimed_suspect{claim.incarnation_});
    case member_state::leaving:
        return process(instance, claimed_leaving{claim.incarnation_});
    case member_state::dead:
        return process(instance, claimed_dead{claim.incarnation_});
    }
    return std::nullopt;
}


std::optional<member_state> after_failed_probe(member_state current)
{
    machine instance = make_machine(current, {});
    return process(instance, probe_failed{});
}


std::optional<member_state> after_suspicion_timeout(member_state current)
{
    machine instance = make_machine(current, {});
    return process(instance, suspicion_expired{});
}

} // namespace monsoondock::membership::pvt
