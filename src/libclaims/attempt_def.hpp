#pragma once

#include <monsoondock/claims/call_machine.hpp>

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/euml/operator.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <cassert>

namespace monsoondock::claims::pvt {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

// Internal events, derived from the answers of the store and the upstream.
struct begin_attempt
{};

struct write_done
{
    platform::version version_;
};

// The store did not receive the write.
struct write_not_reached
{};

// The store may have applied the write.
struct write_answer_lost
{};

struct write_conflict
{};

struct found_own
{
    own_claim claim_;
};

struct found_foreign
{
    caller_answer answer_;
};

struct claim_absent
{};

struct read_unanswered
{};

struct tick_received
{};


// Last change that the attempt makes to its claim: a final record or a delete.
enum class closing_action
{
    write_record,
    release
};


struct attempt_def : msm::front::state_machine_def<attempt_def>
{
    call call_;
    claim_timing timing_;
    clock_reading now_;
    claim_record record_;
    std::string object_key_;
    std::vector<claim_command> commands_;
    std::uint32_t last_call_id_ = 0;
    int create_count_ = 0;
    int late_check_count_ = 0;
    // A create of this attempt was sent and it is not known whether it applied.
    bool create_in_doubt_ = false;
    bool sent_ = false;
    platform::version version_;
    closing_action closing_ = closing_action::write_record;
    std::optional<caller_answer> pending_answer_;
    bool answered_ = false;
    base::time_point wake_time_;
    std::chrono::milliseconds backoff_{0};

    struct idle : msm::front::state<>
    {};
    struct creating : msm::front::state<>
    {};
    struct checking : msm::front::state<>
    {};
    struct dispatched : msm::front::state<>
    {};
    struct closing_write : msm::front::state<>
    {};
    struct closing_check : msm::front::state<>
    {};
    struct closing_backoff : msm::front::state<>
    {};
    struct done : msm::front::state<>
    {};
    using initial_state = idle;

    store_call_id next_call_id()
    {
        return {++last_call_id_};
    }

    void answer(caller_answer a)
    {
        if (answered_)
            return;
        answered_ = true;
        commands_.emplace_back(answer_caller{std::move(a)});
    }

    void refuse(
        refusal_reason reason,
        execution_status run,
        execution_status key_run,
        std::chrono::milliseconds retry_after)
    {
        answer(refusal{reason, run, key_run, retry_after});
    }

    void refuse_store_unavailable()
    {
        refuse(
            refusal_reason::store_unavailable,
            execution_status::not_run,
            execution_status::unknown,
            timing_.store_retry_after_);
    }

    // Sends the answer that was held back until the outcome is written.
    void answer_pending(bool kept)
    {
        if (!pending_answer_)
            return;
        if (auto* fresh = std::get_if<fresh_answer>(&*pending_answer_))
            fresh->kept_ = kept;
        answer(std::move(*pending_answer_));
        pending_answer_.reset();
    }

    void send_create()
    {
        ++create_count_;
        commands_.emplace_back(
            create_claim{next_call_id(), object_key_, encode(record_)});
    }

    void send_read()
    {
        commands_.emplace_back(read_claim{next_call_id(), object_key_});
    }

    void send_closing_write()
    {
        if (closing_ == closing_action::release) {
            commands_.emplace_back(
                release_claim{next_call_id(), object_key_, version_});
            return;
        }
        commands_.emplace_back(update_claim{
            next_call_id(), object_key_, encode(record_), version_});
    }

    void dispatch()
    {
        assert(!sent_);
        sent_ = true;
        commands_.emplace_back(send_to_upstream{});
    }

    void set_wake(std::chrono::milliseconds wait)
    {
        wake_time_ = now_.boot_ + wait;
        commands_.emplace_back(wake_at{wake_time_});
    }

    void start_backoff()
    {
        backoff_ =
            backoff_.count() == 0 ? timing_.initial_backoff_ : backoff_ * 2;
        backoff_ = std::min(backoff_, timing_.max_backoff_);
        set_wake(backoff_);
    }

    void refuse_and_release(
        refusal_reason reason, std::chrono::milliseconds retry_after)
    {
        closing_ = closing_action::release;
        refuse(
            reason,
            execution_status::not_run,
            execution_status::not_run,
            retry_after);
    }

    bool deadline_passed() const
    {
        return now_.boot_ > call_.deadline_;
    }

    // Guards.
    struct past_deadline
    {
        template <class Event, class Fsm, class From, class To>
        bool operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            return fsm.deadline_passed();
        }
    };
    struct may_create_again
    {
        template <class Event, class Fsm, class From, class To>
        bool operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            return fsm.create_count_ < fsm.timing_.max_creates_ &&
                   !fsm.deadline_passed();
        }
    };
    struct in_doubt
    {
        template <class Event, class Fsm, class From, class To>
        bool operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            return fsm.create_in_doubt_;
        }
    };
    struct create_may_be_late
    {
        template <class Event, class Fsm, class From, class To>
        bool operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            return fsm.closing_ == closing_action::release &&
                   fsm.create_in_doubt_ &&
                   fsm.late_check_count_ < fsm.timing_.max_late_create_checks_;
        }
    };
    struct record_written
    {
        template <class Fsm, class From, class To>
        bool operator()(const found_own& e, Fsm& fsm, From&, To&) const
        {
            return fsm.closing_ == closing_action::write_record &&
                   e.claim_.phase_ != claim_phase::claimed;
        }
    };
    struct wake_time_reached
    {
        template <class Event, class Fsm, class From, class To>
        bool operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            return fsm.now_.boot_ >= fsm.wake_time_;
        }
    };
    struct was_unsent
    {
        template <class Fsm, class From, class To>
        bool operator()(const exchange_ended& e, Fsm&, From&, To&) const
        {
            return e.state_ == run_state::unsent;
        }
    };
    struct was_answered
    {
        template <class Fsm, class From, class To>
        bool operator()(const exchange_ended& e, Fsm&, From&, To&) const
        {
            return e.state_ == run_state::answered;
        }
    };

    // Actions.
    struct create
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.send_create();
        }
    };
    struct read
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.send_read();
        }
    };
    struct read_in_doubt
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.create_in_doubt_ = true;
            fsm.send_read();
        }
    };
    struct send
    {
        template <class Fsm, class From, class To>
        void operator()(const write_done& e, Fsm& fsm, From&, To&) const
        {
            fsm.version_ = e.version_;
            fsm.dispatch();
        }
        template <class Fsm, class From, class To>
        void operator()(const found_own& e, Fsm& fsm, From&, To&) const
        {
            fsm.version_ = e.claim_.version_;
            fsm.dispatch();
        }
    };
    struct release_past_deadline
    {
        template <class Fsm, class From, class To>
        void operator()(const write_done& e, Fsm& fsm, From&, To&) const
        {
            release(fsm, e.version_);
        }
        template <class Fsm, class From, class To>
        void operator()(const found_own& e, Fsm& fsm, From&, To&) const
        {
            release(fsm, e.claim_.version_);
        }
        template <class Fsm>
        static void release(Fsm& fsm, platform::version v)
        {
            fsm.version_ = v;
            fsm.refuse_and_release(
                refusal_reason::not_dispatched, std::chrono::milliseconds(0));
            fsm.send_closing_write();
        }
    };
    struct refuse_unavailable
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.refuse_store_unavailable();
        }
    };
    struct refuse_unavailable_in_doubt
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.closing_ = closing_action::release;
            fsm.refuse_store_unavailable();
            fsm.start_backoff();
        }
    };
    struct answer_from_claim
    {
        template <class Fsm, class From, class To>
        void operator()(const found_foreign& e, Fsm& fsm, From&, To&) const
        {
            fsm.answer(e.answer_);
        }
    };
    struct close_unsent
    {
        template <class Fsm, class From, class To>
        void operator()(const exchange_ended& e, Fsm& fsm, From&, To&) const
        {
            fsm.refuse_and_release(
                refusal_reason::not_dispatched, e.retry_after_);
            fsm.send_closing_write();
        }
    };
    struct close_answered
    {
        template <class Fsm, class From, class To>
        void operator()(const exchange_ended& e, Fsm& fsm, From&, To&) const
        {
            fsm.record_.phase_ = claim_phase::finished;
            fsm.record_.outcome_ =
                to_kept_outcome(e.response_, fsm.call_.kept_body_bytes_);
            fsm.pending_answer_ = fresh_answer{e.response_, false};
            fsm.send_closing_write();
            fsm.set_wake(fsm.timing_.max_outcome_wait_);
        }
    };
    struct close_indeterminate
    {
        template <class Fsm, class From, class To>
        void operator()(const exchange_ended&, Fsm& fsm, From&, To&) const
        {
            fsm.record_.phase_ = claim_phase::indeterminate;
            fsm.refuse(
                refusal_reason::outcome_unknown,
                execution_status::unknown,
                execution_status::unknown,
                std::chrono::milliseconds(0));
            fsm.send_closing_write();
        }
    };
    struct answer_kept
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.answer_pending(true);
        }
    };
    struct answer_not_kept
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.answer_pending(false);
        }
    };
    struct back_off
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.answer_pending(false);
            fsm.start_backoff();
        }
    };
    struct back_off_for_late_create
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            ++fsm.late_check_count_;
            fsm.start_backoff();
        }
    };
    struct retry_closing_write
    {
        template <class Fsm, class From, class To>
        void operator()(const found_own& e, Fsm& fsm, From&, To&) const
        {
            fsm.version_ = e.claim_.version_;
            fsm.send_closing_write();
        }
    };

    // Of the rows with the same state and event, MSM tries the last one first,
    // so a row without a guard is the fallback of the guarded rows below it.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<idle, begin_attempt, creating, create, none>,

        Row<creating, write_done, dispatched, send, none>,
        Row<creating, write_done, closing_write, release_past_deadline, past_deadline>,
        Row<creating, write_not_reached, done, refuse_unavailable, none>,
        Row<creating, write_not_reached, closing_backoff, refuse_unavailable_in_doubt, in_doubt>,
        Row<creating, write_conflict, checking, read, none>,
        Row<creating, write_answer_lost, checking, read_in_doubt, none>,

        Row<checking, found_own, dispatched, send, none>,
        Row<checking, found_own, closing_write, release_past_deadline, past_deadline>,
        Row<checking, found_foreign, done, answer_from_claim, none>,
        Row<checking, claim_absent, done, refuse_unavailable, none>,
        Row<checking, claim_absent, closing_backoff, refuse_unavailable_in_doubt, in_doubt>,
        Row<checking, claim_absent, creating, create, may_create_again>,
        Row<checking, read_unanswered, done, refuse_unavailable, none>,
        Row<checking, read_unanswered, closing_backoff, refuse_unavailable_in_doubt, in_doubt>,

        Row<dispatched, exchange_ended, closing_write, close_indeterminate, none>,
        Row<dispatched, exchange_ended, closing_write, close_answered, was_answered>,
        Row<dispatched, exchange_ended, closing_write, close_unsent, was_unsent>,

        Row<closing_write, write_done, done, answer_kept, none>,
        Row<closing_write, write_not_reached, closing_backoff, back_off, none>,
        Row<closing_write, write_answer_lost, closing_check, read, none>,
        Row<closing_write, write_conflict, closing_check, read, none>,
        Row<closing_write, tick_received, none, answer_not_kept, wake_time_reached>,

        Row<closing_check, found_own, closing_write, retry_closing_write, none>,
        Row<closing_check, found_own, done, answer_kept, record_written>,
        Row<closing_check, found_foreign, done, answer_not_kept, none>,
        Row<closing_check, claim_absent, done, answer_not_kept, none>,
        Row<closing_check, claim_absent, closing_backoff, back_off_for_late_create, create_may_be_late>,
        Row<closing_check, read_unanswered, closing_backoff, back_off, none>,
        Row<closing_check, tick_received, none, answer_not_kept, wake_time_reached>,

        Row<closing_backoff, tick_received, closing_check, read, wake_time_reached>
        > {};
    // clang-format on

    // Ignores late, duplicate and unexpected events.
    template <class Fsm, class Event>
    void no_transition(const Event&, Fsm&, int)
    {}
};

} // namespace monsoondock::claims::pvt
