#pragma once

#include "acceptance_states.hpp"

namespace monsoondock::settings::pvt {

/// States and transitions of an acceptance.
struct machine_def : msm::front::state_machine_def<machine_def>
{
    using initial_state = reading_head;

    acceptance_run* run_ = nullptr;


    // Guards.

    /// Nothing was ever accepted.
    struct is_empty
    {
        template <class Machine, class From, class To>
        bool operator()(const head_read& event, Machine&, From&, To&) const
        {
            return event.state_.head_.revision_ == revision{};
        }
    };


    struct lacks_nodes
    {
        template <class Machine, class From, class To>
        bool
        operator()(const index_read& event, Machine& machine, From&, To&) const
        {
            return !covers(*machine.run_, event.index_);
        }
    };


    struct is_last_read
    {
        template <class Machine, class From, class To>
        bool operator()(const node_read&, Machine& machine, From&, To&) const
        {
            return machine.run_->open_.empty();
        }
    };


    struct is_decided
    {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event&, Machine& machine, From&, To&) const
        {
            return machine.run_->outcome_.has_value();
        }
    };


    struct has_candidate
    {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event&, Machine& machine, From&, To&) const
        {
            return !machine.run_->outcome_.has_value();
        }
    };


    struct is_last_write
    {
        template <class Machine, class From, class To>
        bool operator()(
            const object_written& event, Machine& machine, From&, To&) const
        {
            return is_last(*machine.run_, event.key_);
        }


        template <class Machine, class From, class To>
        bool operator()(
            const object_read_back& event, Machine& machine, From&, To&) const
        {
            return is_ours(*machine.run_, event) &&
                   is_last(*machine.run_, event.key_);
        }


        static bool is_ours(acceptance_run& run, const object_read_back& event)
        {
            return run.unwritten_.at(event.key_) == event.text_;
        }


        static bool is_last(acceptance_run& run, const std::string& key)
        {
            return run.unwritten_.size() == 1 && run.unwritten_.contains(key);
        }
    };


    struct is_other_text
    {
        template <class Machine, class From, class To>
        bool operator()(
            const object_read_back& event, Machine& machine, From&, To&) const
        {
            return !is_last_write::is_ours(*machine.run_, event);
        }
    };


    struct assumes_written
    {
        template <class Machine, class From, class To>
        bool operator()(
            const head_not_confirmed& event, Machine& machine, From&, To&) const
        {
            return event.answer_lost_ && !machine.run_->options_.read_back_;
        }
    };


    struct holds_token
    {
        template <class Machine, class From, class To>
        bool
        operator()(const head_read& event, Machine& machine, From&, To&) const
        {
            return history_contains(
                event.state_.head_, machine.run_->edit_.token_);
        }
    };


    struct is_unmoved
    {
        template <class Machine, class From, class To>
        bool
        operator()(const head_read& event, Machine& machine, From&, To&) const
        {
            return event.state_.version_ == machine.run_->current_.version_;
        }
    };


    /// The head forgot the acceptances around the candidate.
    struct is_forgotten
    {
        template <class Machine, class From, class To>
        bool
        operator()(const head_read& event, Machine& machine, From&, To&) const
        {
            const auto& history = event.state_.head_.history_;
            return machine.run_->head_in_doubt_ && !history.empty() &&
                   history.front().revision_ >
                       machine.run_->candidate_.revision_;
        }
    };


    struct has_rebased_too_often
    {
        template <class Machine, class From, class To>
        bool operator()(const head_read&, Machine& machine, From&, To&) const
        {
            const acceptance_run& run = *machine.run_;
            return run.rebases_ >= run.options_.max_rebases_;
        }
    };


    // Actions.

    struct keep_head
    {
        template <class Machine, class From, class To>
        void
        operator()(const head_read& event, Machine& machine, From&, To&) const
        {
            machine.run_->current_ = event.state_;
        }
    };


    /// The old condition cannot hold any more, so the edit is not in doubt.
    struct rebase
    {
        template <class Machine, class From, class To>
        void
        operator()(const head_read& event, Machine& machine, From&, To&) const
        {
            acceptance_run& run = *machine.run_;
            ++run.rebases_;
            run.head_in_doubt_ = false;
            run.current_ = event.state_;
            run.unwritten_.clear();
        }
    };


    struct keep_index
    {
        template <class Machine, class From, class To>
        void
        operator()(const index_read& event, Machine& machine, From&, To&) const
        {
            machine.run_->index_ = event.index_;
        }
    };


    struct keep_node
    {
        template <class Machine, class From, class To>
        void
        operator()(const node_read& event, Machine& machine, From&, To&) const
        {
            machine.run_->nodes_.insert_or_assign(
                event.node_.path_, event.node_);
        }
    };


    struct strike_object
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& event, Machine& machine, From&, To&) const
        {
            machine.run_->unwritten_.erase(event.key_);
        }
    };


    struct read_object_back
    {
        template <class Machine, class From, class To>
        void operator()(
            const object_taken& event, Machine& machine, From&, To&) const
        {
            ask(*machine.run_, {read_object{event.key_}, {}});
        }
    };


    struct drop_calls
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            machine.run_->open_.clear();
        }
    };


    struct raise_revision
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            raise_candidate(*machine.run_);
        }
    };


    struct accept
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            acceptance_run& run = *machine.run_;
            run.outcome_ = accepted{run.candidate_.revision_};
        }
    };


    struct give_up_in_doubt
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            machine.run_->outcome_ = acceptance_unknown{
                "the head no longer remembers revision " +
                std::to_string(machine.run_->candidate_.revision_.value_)};
        }
    };


    struct give_up
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            machine.run_->outcome_ =
                not_accepted{"other edits were accepted first too often"};
        }
    };

    // clang-format off
    // Later rows are tried first when several guards of one event hold.
    struct transition_table : boost::mpl::vector<
        Row<reading_head,    head_read,          reading_index,   keep_head,        none>,
        Row<reading_head,    head_read,          deciding,        keep_head,        is_empty>,
        Row<reading_index,   index_read,         deciding,        keep_index,       none>,
        Row<reading_index,   index_read,         reading_nodes,   keep_index,       lacks_nodes>,
        Row<reading_nodes,   node_read,          none,            keep_node,        none>,
        Row<reading_nodes,   node_read,          deciding,        keep_node,        is_last_read>,
        Row<deciding,        none,               finished,        none,             is_decided>,
        Row<deciding,        none,               writing_objects, none,             has_candidate>,
        Row<writing_objects, object_written,     none,            strike_object,    none>,
        Row<writing_objects, object_written,     writing_head,    strike_object,    is_last_write>,
        Row<writing_objects, object_taken,       none,            read_object_back, none>,
        Row<writing_objects, object_read_back,   none,            strike_object,    none>,
        Row<writing_objects, object_read_back,   writing_head,    strike_object,    is_last_write>,
        Row<writing_objects, object_read_back,   checking_head,   drop_calls,       is_other_text>,
        Row<checking_head,   head_read,          reading_index,   rebase,           none>,
        Row<checking_head,   head_read,          finished,        give_up,          has_rebased_too_often>,
        Row<checking_head,   head_read,          writing_objects, raise_revision,   is_unmoved>,
        Row<writing_head,    head_written,       finished,        accept,           none>,
        Row<writing_head,    head_not_confirmed, reading_back,    none,             none>,
        Row<writing_head,    head_not_confirmed, finished,        accept,           assumes_written>,
        Row<reading_back,    head_read,          reading_index,   rebase,           none>,
        Row<reading_back,    head_read,          finished,        give_up,          has_rebased_too_often>,
        Row<reading_back,    head_read,          finished,        give_up_in_doubt, is_forgotten>,
        Row<reading_back,    head_read,          writing_head,    none,             is_unmoved>,
        Row<reading_back,    head_read,          finished,        accept,           holds_token>>
    {};
    // clang-format on


    /// An event that a state does not expect is a late answer.
    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int)
    {}
};

} // namespace monsoondock::settings::pvt
