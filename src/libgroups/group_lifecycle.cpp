#include <monsoondock/groups/group_lifecycle.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoondock::groups {

namespace {

namespace msm = boost::msm;
using msm::front::Row;
using none = msm::front::none;

struct resume_forming
{};
struct resume_serving
{};
struct resume_retiring
{};
struct resume_retired
{};

struct all_ready
{};
struct member_lost
{};
struct retire_requested
{};
struct hosts_released
{};

struct lifecycle_definition
    : msm::front::state_machine_def<lifecycle_definition>
{
    struct unknown : msm::front::state<>
    {};
    struct forming : msm::front::state<>
    {};
    struct serving : msm::front::state<>
    {};
    struct retiring : msm::front::state<>
    {};
    struct retired : msm::front::state<>
    {};

    using initial_state = unknown;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<unknown,  resume_forming,   forming,  none, none>,
        Row<unknown,  resume_serving,   serving,  none, none>,
        Row<unknown,  resume_retiring,  retiring, none, none>,
        Row<unknown,  resume_retired,   retired,  none, none>,
        Row<forming,  all_ready,        serving,  none, none>,
        Row<forming,  member_lost,      retiring, none, none>,
        Row<forming,  retire_requested, retiring, none, none>,
        Row<serving,  member_lost,      retiring, none, none>,
        Row<serving,  retire_requested, retiring, none, none>,
        Row<retiring, hosts_released,   retired,  none, none>
    > {};
    // clang-format on

    template <class Event, class Machine>
    void no_transition(const Event&, Machine&, int)
    {}
};

using lifecycle = msm::back::state_machine<lifecycle_definition>;

// State ids of the Boost.MSM back end: it numbers the states in the order of
// their first appearance as a source in the transition table.
enum state_id
{
    unknown_id,
    forming_id,
    serving_id,
    retiring_id,
    retired_id
};


void resume(lifecycle& machine, group_phase phase)
{
    switch (phase) {
    case group_phase::forming:
        machine.process_event(resume_forming{});
        break;
    case group_phase::serving:
        machine.process_event(resume_serving{});
        break;
    case group_phase::retiring:
        machine.process_event(resume_retiring{});
        break;
    case group_phase::retired:
        machine.process_event(resume_retired{});
        break;
    }
}


msm::back::HandledEnum process(lifecycle& machine, group_event event)
{
    switch (event) {
    case group_event::all_ready:
        return machine.process_event(all_ready{});
    case group_event::member_lost:
        return machine.process_event(member_lost{});
    case group_event::retire_requested:
        return machine.process_event(retire_requested{});
    case group_event::hosts_released:
        break;
    }
    return machine.process_event(hosts_released{});
}


group_phase phase_of(const lifecycle& machine)
{
    switch (machine.current_state()[0]) {
    case forming_id:
        return group_phase::forming;
    case serving_id:
        return group_phase::serving;
    case retiring_id:
        return group_phase::retiring;
    default:
        return group_phase::retired;
    }
}

} // namespace

std::optional<group_phase> next_phase(group_phase phase, group_event event)
{
    lifecycle machine;
    machine.start();
    resume(machine, phase);
    if (process(machine, event) != msm::back::HANDLED_TRUE)
        return std::nullopt;
    return phase_of(machine);
}


bool may_follow(group_phase from, group_phase to)
{
    if (from == to)
        return true;
    for (const group_event event :
         {group_event::all_ready,
          group_event::member_lost,
          group_event::retire_requested,
          group_event::hosts_released}) {
        if (next_phase(from, event) == to)
            return true;
    }
    return false;
}

} // namespace monsoondock::groups
