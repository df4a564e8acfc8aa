#pragma once

#include "acceptance_states.hpp"

namespace monsoondock::settings::pvt {

/// States and transitions of an acceptance.
struct machine_def : msm::front::state_machine_def<machine_def>
{
    using initial_state = reading_head;

    acceptance_run* run_ = nullptr;


    // Guards.

    /// No revision has been accepted yet.
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
            return !has_all_nodes(*machine.run_, event.index_);
        }
    };


    struct is_last_read
    {
        template <class Machine, class From, class To>
        bool operator()(const node_read&, Machine& machine, From&, To&) const
        {
            return machine.run_->pending_calls_.empty();
        }
    };


    struct has_outcome
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
            return is_expected_text(*machine.run_, event) &&
                   is_last(*machine.run_, event.key_);
        }


        static bool
        is_expected_text(acceptance_run& run, const object_read_back& event)
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
            return !is_last_write::is_expected_text(*machine.run_, event);
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


    struct has_edit_token
    {
        template <class Machine, class From, class To>
        bool
        operator()(const head_read& event, Machine& machine, From&, To&) const
        {
            return history_contains(
                event.state_.head_, machine.run_->edit_.token_);
        }
    };


    struct is_head_unchanged
    {
        template <class Machine, class From, class To>
        bool
        operator()(const head_read& event, Machine& machine, From&, To&) const
        {
            return event.state_.version_ == machine.run_->current_.version_;
        }
    };


    /// A head write had no answer, and the history of the head now starts after
    /// the candidate, so it can't show whether the edit was accepted.
    struct is_history_truncated
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

    struct store_head
    {
        template <class Machine, class From, class To>
        void
        operator()(const head_read& event, Machine& machine, From&, To&) const
        {
            machine.run_->current_ = event.state_;
        }
    };


    /// The head has changed, so a delayed write of the candidate would fail its
    /// condition and the edit is no longer in doubt.
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


    struct store_index
    {
        template <class Machine, class From, class To>
        void
        operator()(const index_read& event, Machine& machine, From&, To&) const
        {
            machine.run_->index_ = event.index_;
        }
    };


    struct store_node
    {
        template <class Machine, class From, class To>
        void
        operator()(const node_read& event, Machine& machine, From&, To&) const
        {
            machine.run_->nodes_.insert_or_assign(
                event.node_.path_, event.node_);
        }
    };


    struct mark_object_written
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
            const object_key_exists& event, Machine& machine, From&, To&) const
        {
            request_call(*machine.run_, {read_object{event.key_}, {}});
        }
    };


    struct discard_pending_calls
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            machine.run_->pending_calls_.clear();
        }
    };


    struct increment_revision
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            increment_candidate_revision(*machine.run_);
        }
    };


    struct end_as_accepted
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            acceptance_run& run = *machine.run_;
            run.outcome_ = accepted{run.candidate_.revision_};
        }
    };


    struct end_as_unknown
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            machine.run_->outcome_ = acceptance_unknown{
                "the history of the head no longer has revision " +
                std::to_string(machine.run_->candidate_.revision_.value_)};
        }
    };


    struct end_as_not_accepted
    {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            machine.run_->outcome_ = not_accepted{
                "other edits were accepted first on every attempt"};
        }
    };

    // clang-format off
    // When the guards of several rows hold, Boost.MSM takes the last one.
    struct transition_table : boost::mpl::vector<
        Row<reading_head,    head_read,          reading_index,   store_head,            none>,
        Row<reading_head,    head_read,          applying_edit,   store_head,            is_empty>,
        Row<reading_index,   index_read,         applying_edit,   store_index,           none>,
        Row<reading_index,   index_read,         reading_nodes,   store_index,           lacks_nodes>,
        Row<reading_nodes,   node_read,          none,            store_node,            none>,
        Row<reading_nodes,   node_read,          applying_edit,   store_node,            is_last_read>,
        Row<applying_edit,   none,               finished,        none,                  has_outcome>,
        Row<applying_edit,   none,               writing_objects, none,                  has_candidate>,
        Row<writing_objects, object_written,     none,            mark_object_written,   none>,
        Row<writing_objects, object_written,     writing_head,    mark_object_written,   is_last_write>,
        Row<writing_objects, object_key_exists,  none,            read_object_back,      none>,
        Row<writing_objects, object_read_back,   none,            mark_object_written,   none>,
        Row<writing_objects, object_read_back,   writing_head,    mark_object_written,   is_last_write>,
        Row<writing_objects, object_read_back,   checking_head,   discard_pending_calls, is_other_text>,
        Row<checking_head,   head_read,          reading_index,   rebase,                none>,
        Row<checking_head,   head_read,          finished,        end_as_not_accepted,   has_rebased_too_often>,
        Row<checking_head,   head_read,          writing_objects, increment_revision,    is_head_unchanged>,
        Row<writing_head,    head_written,       finished,        end_as_accepted,       none>,
        Row<writing_head,    head_not_confirmed, reading_back,    none,                  none>,
        Row<writing_head,    head_not_confirmed, finished,        end_as_accepted,       assumes_written>,
        Row<reading_back,    head_read,          reading_index,   rebase,                none>,
        Row<reading_back,    head_read,          finished,        end_as_not_accepted,   has_rebased_too_often>,
        Row<reading_back,    head_read,          finished,        end_as_unknown,        is_history_truncated>,
        Row<reading_back,    head_read,          writing_head,    none,                  is_head_unchanged>,
        Row<reading_back,    head_read,          finished,        end_as_accepted,       has_edit_token>>
    {};
    // clang-format on


    /// Ignores an event that the state does not expect: it is a late answer.
    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int)
    {}
};

} // namespace monsoondock::settings::pvt
