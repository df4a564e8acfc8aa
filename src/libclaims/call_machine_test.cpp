#include <monsoondock/claims/call_machine.hpp>
#include <monsoondock/platform/memory_store.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::claims;
using namespace std::chrono_literals;

namespace {

call make_call(std::string token, std::string body = "{}")
{
    call c;
    c.key_ = {{"resinas"}, {"ledger-app"}, {"lot-7"}};
    c.fingerprint_ = fingerprint_request("POST", "/payouts", body);
    c.token_ = {std::move(token)};
    c.owner_ = {{"heredia-1"}, 1};
    c.deadline_ = base::time_point(10s);
    c.exchange_timeout_ = 5s;
    return c;
}


// Executes the commands of one attempt on a store that answers immediately.
struct attempt_runner
{
    platform::memory_store& store_;
    call_machine machine_;
    exchange_ended exchange_{run_state::answered, {201, "", "paid"}, {}};
    owner_status owner_ = owner_status::unknown;
    bool store_down_ = false;
    clock_reading now_{};
    int writes_ = 0;
    int reads_ = 0;
    int sends_ = 0;
    std::optional<caller_answer> answer_ = std::nullopt;

    void execute(const std::vector<claim_command>& commands)
    {
        for (const auto& c : commands)
            std::visit([this](const auto& x) { execute(x); }, c);
    }
    void reply(store_call_id id, platform::write_outcome outcome)
    {
        ++writes_;
        if (store_down_)
            outcome = platform::not_reached{"down"};
        execute(machine_.process(write_answered{id, outcome}, now_));
    }
    void execute(const create_claim& c)
    {
        if (store_down_)
            return reply(c.id_, platform::not_reached{});
        reply(c.id_, store_.put(c.key_, c.value_, platform::if_absent{}));
    }
    void execute(const update_claim& c)
    {
        if (store_down_)
            return reply(c.id_, platform::not_reached{});
        reply(
            c.id_,
            store_.put(c.key_, c.value_, platform::if_version{c.version_}));
    }
    void execute(const release_claim& c)
    {
        if (store_down_)
            return reply(c.id_, platform::not_reached{});
        reply(c.id_, store_.erase(c.key_, c.version_));
    }
    void execute(const read_claim& c)
    {
        ++reads_;
        if (store_down_)
            execute(machine_.process(read_failed{c.id_}, now_));
        else
            execute(machine_.process(
                read_answered{c.id_, store_.get(c.key_), owner_}, now_));
    }
    void execute(const send_to_upstream&)
    {
        ++sends_;
        execute(machine_.process(exchange_, now_));
    }
    void execute(const answer_caller& c)
    {
        answer_ = c.answer_;
    }
    void execute(const wake_at&) {}
};

} // namespace


Test(call_machine, call_without_faults_takes_two_writes_and_no_read)
{
    platform::memory_store store;
    attempt_runner r{store, call_machine(make_call("t1"))};
    r.execute(r.machine_.start({}));
    cr_assert(r.machine_.finished());
    cr_assert(r.writes_ == 2 && r.reads_ == 0 && r.sends_ == 1);
    cr_assert(std::get<fresh_answer>(*r.answer_).kept_);
}


Test(call_machine, repeat_gets_the_kept_outcome_and_another_body_is_refused)
{
    platform::memory_store store;
    attempt_runner first{store, call_machine(make_call("t1"))};
    first.execute(first.machine_.start({}));
    attempt_runner repeat{store, call_machine(make_call("t2"))};
    repeat.execute(repeat.machine_.start({}));
    cr_assert(repeat.sends_ == 0);
    const auto& replayed = std::get<replayed_answer>(*repeat.answer_);
    cr_assert(replayed.response_ == first.exchange_.response_);
    attempt_runner other{store, call_machine(make_call("t3", "{\"lot\":8}"))};
    other.execute(other.machine_.start({}));
    const auto& refused = std::get<refusal>(*other.answer_);
    cr_assert(http_status(refused.reason_) == 422);
    cr_assert(refused.run_ == execution_status::not_run);
}


Test(call_machine, repeat_of_a_running_call_gets_a_retry_delay)
{
    platform::memory_store store;
    call_machine running(make_call("t1"));
    const auto commands = running.start({});
    const auto& create = std::get<create_claim>(commands.front());
    store.put(create.key_, create.value_, platform::if_absent{});
    attempt_runner repeat{store, call_machine(make_call("t2"))};
    repeat.owner_ = owner_status::working;
    repeat.execute(repeat.machine_.start({}));
    const auto& refused = std::get<refusal>(*repeat.answer_);
    cr_assert(http_status(refused.reason_) == 409);
    cr_assert(refused.retry_after_ > 0ms);
    attempt_runner orphan{store, call_machine(make_call("t3"))};
    orphan.execute(orphan.machine_.start({}));
    const auto& unknown = std::get<refusal>(*orphan.answer_);
    cr_assert(unknown.reason_ == refusal_reason::outcome_unknown);
    cr_assert(unknown.run_ == execution_status::unknown);
}


Test(call_machine, store_outage_gives_not_run_and_the_next_attempt_runs)
{
    platform::memory_store store;
    attempt_runner r{store, call_machine(make_call("t1"))};
    r.store_down_ = true;
    r.execute(r.machine_.start({}));
    const auto& refused = std::get<refusal>(*r.answer_);
    cr_assert(refused.run_ == execution_status::not_run);
    cr_assert(refused.retry_after_ > 0ms);
    cr_assert(r.sends_ == 0 && r.machine_.finished());
    attempt_runner next{store, call_machine(make_call("t2"))};
    next.execute(next.machine_.start({}));
    cr_assert(next.sends_ == 1);
}


Test(call_machine, unsent_call_is_released_and_the_next_attempt_runs)
{
    platform::memory_store store;
    attempt_runner r{store, call_machine(make_call("t1"))};
    r.exchange_ = {run_state::unsent, {}, 700ms};
    r.execute(r.machine_.start({}));
    const auto& refused = std::get<refusal>(*r.answer_);
    cr_assert(refused.run_ == execution_status::not_run);
    cr_assert(refused.key_run_ == execution_status::not_run);
    cr_assert(refused.retry_after_ == 700ms);
    attempt_runner next{store, call_machine(make_call("t2"))};
    next.execute(next.machine_.start({}));
    cr_assert(next.sends_ == 1);
}
