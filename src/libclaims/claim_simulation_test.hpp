#pragma once

#include <monsoondock/claims/call_machine.hpp>
#include <monsoondock/platform/memory_store.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoondock::claims::test {

using namespace std::chrono_literals;

enum class protocol_variant
{
    correct,
    no_claim,
    retry_after_maybe_sent,
    token_not_compared,
    released_after_maybe_sent
};

constexpr int DAEMON_COUNT = 4;
constexpr int KEY_COUNT = 2;
constexpr int ATTEMPT_COUNT = 8;
constexpr int MAX_STEPS = 4000;


// Avoids operator+ of std::string, for which GCC 12 gives a false -Wrestrict
// warning.
inline std::string append_number(std::string prefix, long long n)
{
    return prefix.append(std::to_string(n));
}


struct statistics
{
    long attempts_ = 0;
    long runs_ = 0;
    long replays_ = 0;
    long not_run_ = 0;
    long store_calls_ = 0;
    // Keys that never ran and whose last attempt did not run either.
    long stuck_ = 0;
    // Stuck keys for which no request was sent to an upstream.
    long stuck_unsent_ = 0;
};


struct attempt_state
{
    int key_ = 0;
    int body_ = 0;
    int daemon_ = 0;
    std::uint64_t incarnation_ = 0;
    attempt_token token_;
    std::unique_ptr<call_machine> machine_;
    bool answered_ = false;
    bool refused_as_not_run_ = false;
    int sends_ = 0;
    int runs_ = 0;
    // Response body stored for the key before this attempt started.
    std::optional<std::string> expected_body_;
};


// Simulates daemons, a store, upstreams and callers. Every pending step is a
// task. Tasks run in a random order determined by the seed, so they can be
// delayed for any time and overtake each other.
class simulation
{
public:
    simulation(std::uint64_t seed, protocol_variant v)
        : random_(seed), variant_(v)
    {
        incarnations_.fill(1);
        for (int i = 0; i < ATTEMPT_COUNT; ++i)
            add_task([this] {
                start_attempt(random_below(KEY_COUNT), random_below(8) == 0);
            });
        for (int i = random_below(4); i > 0; --i)
            add_task([this] { restart_daemon(random_below(DAEMON_COUNT)); });
        for (int i = random_below(3); i > 0; --i) {
            add_task([this] { store_down_ = true; });
            add_task([this] { store_down_ = false; });
        }
    }

    std::optional<std::string> explore(statistics& totals)
    {
        run_tasks();
        store_down_ = false;
        faults_ = false;
        run_tasks();
        check_all_ended();
        probe_keys();
        statistics_.attempts_ = static_cast<long>(attempts_.size());
        add_to(totals);
        return violation_;
    }

private:
    using task = std::function<void()>;

    int random_below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random_);
    }

    bool fault_occurs(int percent)
    {
        return faults_ && random_below(100) < percent;
    }

    void add_task(task t)
    {
        tasks_.push_back(std::move(t));
    }

    void report_violation(std::string what)
    {
        if (!violation_)
            violation_ = std::move(what);
    }

    void run_tasks()
    {
        for (int step = 0; step < MAX_STEPS && !tasks_.empty(); ++step) {
            const int i = random_below(static_cast<int>(tasks_.size()));
            std::swap(tasks_[i], tasks_.back());
            const task t = std::move(tasks_.back());
            tasks_.pop_back();
            now_.boot_ += 1ms;
            now_.wall_ += 1ms;
            t();
        }
    }

    bool alive(const attempt_state& a) const
    {
        return incarnations_[a.daemon_] == a.incarnation_;
    }

    void restart_daemon(int daemon)
    {
        ++incarnations_[daemon];
    }

    int start_attempt(int key, bool other_body)
    {
        auto a = std::make_unique<attempt_state>();
        a->key_ = key;
        a->body_ = other_body ? 1 : 0;
        a->daemon_ = random_below(DAEMON_COUNT);
        a->incarnation_ = incarnations_[a->daemon_];
        a->token_.value_ =
            append_number("t", static_cast<long long>(attempts_.size()));
        if (kept_.contains(key))
            a->expected_body_ = kept_[key];
        a->machine_ = std::make_unique<call_machine>(make_call(*a));
        const int index = static_cast<int>(attempts_.size());
        attempts_.push_back(std::move(a));
        execute(index, attempts_[index]->machine_->start(now_));
        return index;
    }

    call make_call(const attempt_state& a)
    {
        call c;
        c.key_ = {{"resinas"}, {"ledger"}, {append_number("k", a.key_)}};
        c.fingerprint_ = {append_number("body", a.body_)};
        c.token_ = a.token_;
        c.owner_ = {{append_number("d", a.daemon_)}, a.incarnation_};
        c.deadline_ =
            now_.boot_ + std::chrono::milliseconds(5 + random_below(60));
        c.exchange_timeout_ = 20ms;
        return c;
    }

    void execute(int index, const std::vector<claim_command>& commands)
    {
        for (const claim_command& c : commands)
            std::visit(
                [&](const auto& alternative) { execute(index, alternative); },
                c);
    }

    // A request of a daemon that has since restarted may still be in transit.
    bool request_is_sent(int index)
    {
        return alive(*attempts_[index]) || random_below(2) == 0;
    }

    void deliver(int index, claim_event event)
    {
        const bool duplicated = fault_occurs(10);
        for (int copies = duplicated ? 2 : 1; copies > 0; --copies)
            add_task([this, index, event] {
                attempt_state& a = *attempts_[index];
                if (alive(a))
                    execute(index, a.machine_->process(event, now_));
            });
    }

    template <class Effect>
    void write(int index, store_call_id id, Effect effect)
    {
        ++statistics_.store_calls_;
        add_task([this, index, id, effect] {
            if (!request_is_sent(index))
                return;
            if (store_down_ && fault_occurs(70)) {
                deliver(
                    index, write_answered{id, platform::not_reached{"down"}});
                return;
            }
            if (store_down_ || fault_occurs(10)) {
                const bool late = fault_occurs(50);
                if (late)
                    add_task([effect] { effect(); });
                else if (!store_down_)
                    effect();
                deliver(
                    index, write_answered{id, platform::answer_lost{"lost"}});
                return;
            }
            deliver(index, write_answered{id, effect()});
        });
    }

    void execute(int index, const create_claim& c)
    {
        write(index, c.id_, [this, c]() -> platform::write_outcome {
            if (variant_ == protocol_variant::no_claim)
                return platform::written{};
            return store_.put(c.key_, c.value_, platform::if_absent{});
        });
    }

    void execute(int index, const update_claim& c)
    {
        const auto record = base::value(decode_claim(c.value_));
        if (variant_ == protocol_variant::released_after_maybe_sent &&
            record.phase_ == claim_phase::indeterminate) {
            execute(index, release_claim{c.id_, c.key_, c.version_});
            return;
        }
        write(index, c.id_, [this, c] {
            return store_.put(
                c.key_, c.value_, platform::if_version{c.version_});
        });
    }

    void execute(int index, const release_claim& c)
    {
        write(index, c.id_, [this, c] {
            return store_.erase(c.key_, c.version_);
        });
    }

    void execute(int index, const read_claim& c)
    {
        ++statistics_.store_calls_;
        add_task([this, index, c] {
            if (store_down_ || fault_occurs(5)) {
                deliver(index, read_failed{c.id_});
                return;
            }
            read_answered answer{c.id_, store_.get(c.key_), {}};
            if (answer.object_)
                answer.owner_ = status_of(*find_owner(*answer.object_), index);
            if (answer.object_ &&
                variant_ == protocol_variant::token_not_compared)
                set_own_token(*answer.object_, index);
            deliver(index, answer);
        });
    }

    void set_own_token(platform::object& object, int index)
    {
        auto record = base::value(decode_claim(object.value_));
        record.token_ = attempts_[index]->token_;
        object.value_ = encode(record);
    }

    // Membership may be outdated: a live owner can appear stopped and a stopped
    // one alive.
    owner_status status_of(const claim_owner& owner, int asking)
    {
        const int daemon = owner.daemon_.value_[1] - '0';
        bool working = incarnations_[daemon] == owner.incarnation_;
        if (daemon != attempts_[asking]->daemon_ && fault_occurs(20))
            working = !working;
        return working ? owner_status::working : owner_status::unknown;
    }

    void execute(int index, const send_to_upstream&)
    {
        attempt_state& a = *attempts_[index];
        if (++a.sends_ > 1)
            report_violation("attempt sent the request twice");
        if (a.answered_)
            report_violation("attempt sent the request after its answer");
        add_task([this, index] { exchange(index); });
    }

    void exchange(int index)
    {
        if (!request_is_sent(index))
            return;
        ++sends_[attempts_[index]->key_];
        // 0: the request is not sent; 1 to 3: the answer is lost, and the call
        // runs not at all, now or later; above 3: the upstream answers.
        int kind = faults_ ? random_below(10) : 9;
        if (kind == 0 && attempts_[index]->runs_ > 0)
            kind = 1;
        if (kind == 0) {
            deliver(index, exchange_ended{run_state::unsent, {}, 500ms});
            return;
        }
        if (kind <= 3) {
            if (kind == 2)
                run(index);
            if (kind == 3)
                add_task([this, index] { run(index); });
            if (variant_ == protocol_variant::retry_after_maybe_sent)
                add_task([this, index] { exchange(index); });
            else
                deliver(index, exchange_ended{});
            return;
        }
        deliver(index, exchange_ended{run_state::answered, run(index), {}});
    }

    upstream_response run(int index)
    {
        attempt_state& a = *attempts_[index];
        ++a.runs_;
        ++statistics_.runs_;
        if (++runs_[a.key_] > 1)
            report_violation("key ran twice");
        if (a.refused_as_not_run_)
            report_violation("attempt ran after it was refused as not_run");
        return {
            200,
            "text/plain",
            append_number("run ", runs_[a.key_])
                .append(" by ")
                .append(a.token_.value_)};
    }

    void execute(int index, const answer_caller& c)
    {
        attempt_state& a = *attempts_[index];
        if (a.answered_)
            report_violation("answered twice");
        a.answered_ = true;
        std::visit(
            [&](const auto& alternative) { check_answer(a, alternative); },
            c.answer_);
    }

    void check_answer(attempt_state& a, const fresh_answer& f)
    {
        if (a.runs_ != 1 || !f.response_.body_.ends_with(a.token_.value_))
            report_violation("fresh answer is not that of the attempt");
        if (a.expected_body_)
            report_violation("call ran again after its outcome was stored");
        if (f.kept_)
            kept_[a.key_] = f.response_.body_;
    }

    void check_answer(attempt_state& a, const replayed_answer& r)
    {
        ++statistics_.replays_;
        if (runs_[a.key_] != 1)
            report_violation("replay of a call that did not run exactly once");
        if (a.expected_body_ && r.response_.body_ != *a.expected_body_)
            report_violation("replay differs from the stored outcome");
    }

    void check_answer(attempt_state& a, const refusal& r)
    {
        if (r.run_ == execution_status::not_run) {
            ++statistics_.not_run_;
            a.refused_as_not_run_ = true;
            if (a.runs_ > 0)
                report_violation("not_run for an attempt that ran");
        }
        if (r.key_run_ == execution_status::not_run && runs_[a.key_] > 0)
            report_violation("not_run for a key that ran");
        const bool may_differ =
            r.reason_ == refusal_reason::store_unavailable ||
            r.reason_ == refusal_reason::different_request;
        if (a.expected_body_ && !may_differ)
            report_violation("stored outcome was not returned");
    }

    void execute(int index, const wake_at& w)
    {
        add_task([this, index, w] {
            if (now_.boot_ < w.time_ && random_below(2) == 0)
                now_.boot_ = w.time_;
            attempt_state& a = *attempts_[index];
            if (now_.boot_ < w.time_)
                execute(index, w);
            else if (alive(a))
                execute(index, a.machine_->process(tick{}, now_));
        });
    }

    void check_all_ended()
    {
        if (!tasks_.empty())
            report_violation("tasks remain after the step limit");
        for (const auto& a : attempts_)
            if (alive(*a) && (!a->answered_ || !a->machine_->finished()))
                report_violation("attempt did not finish");
    }

    // Starts one more attempt per key after the faults have ended.
    void probe_keys()
    {
        for (int key = 0; key < KEY_COUNT; ++key) {
            const int before = runs_[key];
            const int index = start_attempt(key, false);
            run_tasks();
            if (!attempts_[index]->answered_)
                report_violation("last attempt for a key got no answer");
            if (before == 0 && runs_[key] == 0)
                count_stuck(key);
        }
    }

    void count_stuck(int key)
    {
        ++statistics_.stuck_;
        if (sends_[key] == 0)
            ++statistics_.stuck_unsent_;
    }

    void add_to(statistics& totals) const
    {
        totals.attempts_ += statistics_.attempts_;
        totals.runs_ += statistics_.runs_;
        totals.replays_ += statistics_.replays_;
        totals.not_run_ += statistics_.not_run_;
        totals.store_calls_ += statistics_.store_calls_;
        totals.stuck_ += statistics_.stuck_;
        totals.stuck_unsent_ += statistics_.stuck_unsent_;
    }

    std::mt19937_64 random_;
    protocol_variant variant_;
    clock_reading now_;
    platform::memory_store store_;
    bool store_down_ = false;
    bool faults_ = true;
    std::array<std::uint64_t, DAEMON_COUNT> incarnations_{};
    std::vector<std::unique_ptr<attempt_state>> attempts_;
    std::vector<task> tasks_;
    std::map<int, int> runs_;
    std::map<int, int> sends_;
    std::map<int, std::string> kept_;
    statistics statistics_;
    std::optional<std::string> violation_;
};

} // namespace monsoondock::claims::test
