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

// Events of the machine: what the answers of store and upstream mean.
struct begin_attempt
{};

struct write_done
{
    platform::version version_;
};

struct write_not_reached
{};

struct write_lost
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

struct found_nothing
{};

struct store_silent
{};

struct time_passed
{};


// How the attempt leaves the store: with a final record, or without a claim.
enum class closing
{
    write_record,
    release
};


struct attempt_def : msm::front::state_machine_def<attempt_def>
{
    call call_;
    claim_timing timing_;
    moment now_;
    claim_record record_;
    std::string object_key_;
    std::vector<claim_command> commands_;
    std::uint32_t last_call_ = 0;
    int creates_ = 0;
    int late_checks_ = 0;
    // A create of ours was sent and its effect is not known.
    bool create_in_doubt_ = false;
    bool sent_ = false;
    platform::version version_;
    closing closing_ = closing::write_record;
    std::optional<caller_answer> withheld_;
    bool answered_ = false;
    base::time_point wake_;
    std::chrono::milliseconds pause_{0};

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
    struct closing_pause : msm::front::state<>
    {};
    struct done : msm::front::state<>
    {};
    using initial_state = idle;

    store_call_id next_call()
    {
        return {++last_call_};
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

    // Gives the answer that waits for the write of the outcome.
    void answer_withheld(bool kept)
    {
        if (!withheld_)
            return;
        if (auto* fresh = std::get_if<fresh_answer>(&*withheld_))
            fresh->kept_ = kept;
        answer(std::move(*withheld_));
        withheld_.reset();
    }

    void send_create()
    {
        ++creates_;
        commands_.emplace_back(
            create_claim{next_call(), object_key_, encode(record_)});
    }

    void send_read()
    {
        commands_.emplace_back(read_claim{next_call(), object_key_});
    }

    void send_closing_write()
    {
        if (closing_ == closing::release) {
            commands_.emplace_back(
                release_claim{next_call(), object_key_, version_});
            return;
        }
        commands_.emplace_back(
            update_claim{next_call(), object_key_, encode(record_), version_});
    }

    void dispatch()
    {
        assert(!sent_);
        sent_ = true;
        commands_.emplace_back(send_to_upstream{});
    }

    void set_wake(std::chrono::milliseconds wait)
    {
        wake_ = now_.boot_ + wait;
        commands_.emplace_back(wake_at{wake_});
    }

    void start_pause()
    {
        pause_ = pause_.count() == 0 ? timing_.first_pause_ : pause_ * 2;
        pause_ = std::min(pause_, timing_.longest_pause_);
        set_wake(pause_);
    }

    void give_up_not_run(
        refusal_reason reason, std::chrono::milliseconds retry_after)
    {
        closing_ = closing::release;
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
    struct too_late
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
            return fsm.creates_ < fsm.timing_.create_tries_ &&
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
            return fsm.closing_ == closing::release && fsm.create_in_doubt_ &&
                   fsm.late_checks_ < fsm.timing_.late_create_checks_;
        }
    };
    struct record_written
    {
        template <class Fsm, class From, class To>
        bool operator()(const found_own& e, Fsm& fsm, From&, To&) const
        {
            return fsm.closing_ == closing::write_record &&
                   e.claim_.phase_ != claim_phase::claimed;
        }
    };
    struct wake_time_reached
    {
        template <class Event, class Fsm, class From, class To>
        bool operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            return fsm.now_.boot_ >= fsm.wake_;
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
    struct release_late
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
            fsm.give_up_not_run(
                refusal_reason::not_dispatched, std::chrono::milliseconds(0));
            fsm.send_closing_write();
        }
    };
    struct refuse_store
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.refuse_store_unavailable();
        }
    };
    struct refuse_store_in_doubt
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.closing_ = closing::release;
            fsm.refuse_store_unavailable();
            fsm.start_pause();
        }
    };
    struct pass_answer
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
            fsm.give_up_not_run(refusal_reason::not_dispatched, e.retry_after_);
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
                keep(e.response_, fsm.call_.kept_body_bytes_);
            fsm.withheld_ = fresh_answer{e.response_, false};
            fsm.send_closing_write();
            fsm.set_wake(fsm.timing_.outcome_wait_);
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
            fsm.answer_withheld(true);
        }
    };
    struct answer_unkept
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.answer_withheld(false);
        }
    };
    struct pause
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            fsm.answer_withheld(false);
            fsm.start_pause();
        }
    };
    struct pause_for_late_create
    {
        template <class Event, class Fsm, class From, class To>
        void operator()(const Event&, Fsm& fsm, From&, To&) const
        {
            ++fsm.late_checks_;
            fsm.start_pause();
        }
    };
    struct write_again
    {
        template <class Fsm, class From, class To>
        void operator()(const found_own& e, Fsm& fsm, From&, To&) const
        {
            fsm.version_ = e.claim_.version_;
            fsm.send_closing_write();
        }
    };

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<idle, begin_attempt, creating, create, none>,

        Row<creating, write_done, dispatched, send, none>,
        Row<creating, write_done, closing_write, release_late, too_late>,
        Row<creating, write_not_reached, done, refuse_store, none>,
        Row<creating, write_not_reached, closing_pause, refuse_store_in_doubt, in_doubt>,
        Row<creating, write_conflict, checking, read, none>,
        Row<creating, write_lost, checking, read_in_doubt, none>,

        Row<checking, found_own, dispatched, send, none>,
        Row<checking, found_own, closing_write, release_late, too_late>,
        Row<checking, found_foreign, done, pass_answer, none>,
        Row<checking, found_nothing, done, refuse_store, none>,
        Row<checking, found_nothing, closing_pause, refuse_store_in_doubt, in_doubt>,
        Row<checking, found_nothing, creating, create, may_create_again>,
        Row<checking, store_silent, done, refuse_store, none>,
        Row<checking, store_silent, closing_pause, refuse_store_in_doubt, in_doubt>,

        Row<dispatched, exchange_ended, closing_write, close_indeterminate, none>,
        Row<dispatched, exchange_ended, closing_write, close_answered, was_answered>,
        Row<dispatched, exchange_ended, closing_write, close_unsent, was_unsent>,

        Row<closing_write, write_done, done, answer_kept, none>,
        Row<closing_write, write_not_reached, closing_pause, pause, none>,
        Row<closing_write, write_lost, closing_check, read, none>,
        Row<closing_write, write_conflict, closing_check, read, none>,
        Row<closing_write, time_passed, none, answer_unkept, wake_time_reached>,

        Row<closing_check, found_own, closing_write, write_again, none>,
        Row<closing_check, found_own, done, answer_kept, record_written>,
        Row<closing_check, found_foreign, done, answer_unkept, none>,
        Row<closing_check, found_nothing, done, answer_unkept, none>,
        Row<closing_check, found_nothing, closing_pause, pause_for_late_create, create_may_be_late>,
        Row<closing_check, store_silent, closing_pause, pause, none>,
        Row<closing_check, time_passed, none, answer_unkept, wake_time_reached>,

        Row<closing_pause, time_passed, closing_check, read, wake_time_reached>
        > {};
    // clang-format on

    // A late, doubled or unexpected event changes nothing.
    template <class Fsm, class Event>
    void no_transition(const Event&, Fsm&, int)
    {}
};

} // namespace monsoondock::claims::pvt
