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

enum class variant
{
    correct,
    no_claim,
    retry_after_maybe_sent,
    token_not_compared,
    released_after_maybe_sent
};

constexpr int DAEMONS = 4;
constexpr int KEYS = 2;
constexpr int STARTS = 8;
constexpr int MAX_STEPS = 4000;


// std::string's operator+ draws a false -Wrestrict from GCC 12.
inline std::string numbered(std::string prefix, long long n)
{
    return prefix.append(std::to_string(n));
}


struct figures
{
    long attempts_ = 0;
    long runs_ = 0;
    long replays_ = 0;
    long not_run_ = 0;
    long store_calls_ = 0;
    // Keys that never ran and whose repeats are told "unknown" at the end.
    long stuck_ = 0;
    // Those of them that no daemon had begun to send.
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
    bool told_not_run_ = false;
    int sends_ = 0;
    int runs_ = 0;
    // Answer kept for the key before this attempt began.
    std::optional<std::string> expected_;
};


// Daemons, a store, upstreams and callers whose steps happen in an order drawn
// from the seed. Every step that is under way is a task; tasks wait for any
// time and overtake each other.
class world
{
public:
    world(std::uint64_t seed, variant v) : random_(seed), variant_(v)
    {
        incarnations_.fill(1);
        for (int i = 0; i < STARTS; ++i)
            add([this] { start_attempt(below(KEYS), below(8) == 0); });
        for (int i = below(4); i > 0; --i)
            add([this] { kill(below(DAEMONS)); });
        for (int i = below(3); i > 0; --i) {
            add([this] { store_down_ = true; });
            add([this] { store_down_ = false; });
        }
    }

    std::optional<std::string> explore(figures& f)
    {
        run_tasks();
        store_down_ = false;
        faults_ = false;
        run_tasks();
        check_all_ended();
        probe_keys();
        figures_.attempts_ = static_cast<long>(attempts_.size());
        add_to(f);
        return violation_;
    }

private:
    using task = std::function<void()>;

    int below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random_);
    }

    bool chance(int percent)
    {
        return faults_ && below(100) < percent;
    }

    void add(task t)
    {
        tasks_.push_back(std::move(t));
    }

    void fail(std::string what)
    {
        if (!violation_)
            violation_ = std::move(what);
    }

    void run_tasks()
    {
        for (int step = 0; step < MAX_STEPS && !tasks_.empty(); ++step) {
            const int i = below(static_cast<int>(tasks_.size()));
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

    void kill(int daemon)
    {
        ++incarnations_[daemon];
    }

    int start_attempt(int key, bool other_body)
    {
        auto a = std::make_unique<attempt_state>();
        a->key_ = key;
        a->body_ = other_body ? 1 : 0;
        a->daemon_ = below(DAEMONS);
        a->incarnation_ = incarnations_[a->daemon_];
        a->token_.value_ =
            numbered("t", static_cast<long long>(attempts_.size()));
        if (kept_.contains(key))
            a->expected_ = kept_[key];
        a->machine_ = std::make_unique<call_machine>(describe_call(*a));
        const int index = static_cast<int>(attempts_.size());
        attempts_.push_back(std::move(a));
        obey(index, attempts_[index]->machine_->start(now_));
        return index;
    }

    call describe_call(const attempt_state& a)
    {
        call c;
        c.key_ = {{"resinas"}, {"ledger"}, {numbered("k", a.key_)}};
        c.fingerprint_ = {numbered("body", a.body_)};
        c.token_ = a.token_;
        c.owner_ = {{numbered("d", a.daemon_)}, a.incarnation_};
        c.deadline_ = now_.boot_ + std::chrono::milliseconds(5 + below(60));
        c.exchange_timeout_ = 20ms;
        return c;
    }

    void obey(int index, const std::vector<claim_command>& commands)
    {
        for (const claim_command& c : commands)
            std::visit([&](const auto& x) { obey(index, x); }, c);
    }

    // A killed daemon's calls may still be on their way.
    bool departs(int index)
    {
        return alive(*attempts_[index]) || below(2) == 0;
    }

    void deliver(int index, claim_event event)
    {
        const bool doubled = chance(10);
        for (int copies = doubled ? 2 : 1; copies > 0; --copies)
            add([this, index, event] {
                attempt_state& a = *attempts_[index];
                if (alive(a))
                    obey(index, a.machine_->process(event, now_));
            });
    }

    template <class Effect>
    void write(int index, store_call_id id, Effect effect)
    {
        ++figures_.store_calls_;
        add([this, index, id, effect] {
            if (!departs(index))
                return;
            if (store_down_ && chance(70)) {
                deliver(
                    index, write_answered{id, platform::not_reached{"down"}});
                return;
            }
            if (store_down_ || chance(10)) {
                const bool late = chance(50);
                if (late)
                    add([effect] { effect(); });
                else if (!store_down_)
                    effect();
                deliver(
                    index, write_answered{id, platform::answer_lost{"lost"}});
                return;
            }
            deliver(index, write_answered{id, effect()});
        });
    }

    void obey(int index, const create_claim& c)
    {
        write(index, c.id_, [this, c]() -> platform::write_outcome {
            if (variant_ == variant::no_claim)
                return platform::written{};
            return store_.put(c.key_, c.value_, platform::if_absent{});
        });
    }

    void obey(int index, const update_claim& c)
    {
        const auto record = base::value(decode_claim(c.value_));
        if (variant_ == variant::released_after_maybe_sent &&
            record.phase_ == claim_phase::indeterminate) {
            obey(index, release_claim{c.id_, c.key_, c.version_});
            return;
        }
        write(index, c.id_, [this, c] {
            return store_.put(
                c.key_, c.value_, platform::if_version{c.version_});
        });
    }

    void obey(int index, const release_claim& c)
    {
        write(index, c.id_, [this, c] {
            return store_.erase(c.key_, c.version_);
        });
    }

    void obey(int index, const read_claim& c)
    {
        ++figures_.store_calls_;
        add([this, index, c] {
            if (store_down_ || chance(5)) {
                deliver(index, read_failed{c.id_});
                return;
            }
            read_answered answer{c.id_, store_.get(c.key_), {}};
            if (answer.object_)
                answer.owner_ = status_of(*find_owner(*answer.object_), index);
            if (answer.object_ && variant_ == variant::token_not_compared)
                pretend_own(*answer.object_, index);
            deliver(index, answer);
        });
    }

    void pretend_own(platform::object& object, int index)
    {
        auto record = base::value(decode_claim(object.value_));
        record.token_ = attempts_[index]->token_;
        object.value_ = encode(record);
    }

    // Membership is often outdated, in both directions.
    owner_status status_of(const claim_owner& owner, int asking)
    {
        const int daemon = owner.daemon_.value_[1] - '0';
        bool working = incarnations_[daemon] == owner.incarnation_;
        if (daemon != attempts_[asking]->daemon_ && chance(20))
            working = !working;
        return working ? owner_status::working : owner_status::unknown;
    }

    void obey(int index, const send_to_upstream&)
    {
        attempt_state& a = *attempts_[index];
        if (++a.sends_ > 1)
            fail("sent twice by one attempt");
        if (a.answered_)
            fail("sent after the answer");
        add([this, index] { exchange(index); });
    }

    void exchange(int index)
    {
        if (!departs(index))
            return;
        ++sends_[attempts_[index]->key_];
        int kind = faults_ ? below(10) : 9;
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
                add([this, index] { run(index); });
            if (variant_ == variant::retry_after_maybe_sent)
                add([this, index] { exchange(index); });
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
        ++figures_.runs_;
        if (++runs_[a.key_] > 1)
            fail("key ran twice");
        if (a.told_not_run_)
            fail("ran after the answer not_run");
        return {
            200,
            "text/plain",
            numbered("run ", runs_[a.key_])
                .append(" by ")
                .append(a.token_.value_)};
    }

    void obey(int index, const answer_caller& c)
    {
        attempt_state& a = *attempts_[index];
        if (a.answered_)
            fail("answered twice");
        a.answered_ = true;
        std::visit([&](const auto& x) { check(a, x); }, c.answer_);
    }

    void check(attempt_state& a, const fresh_answer& f)
    {
        if (a.runs_ != 1 || !f.response_.body_.ends_with(a.token_.value_))
            fail("answer is not that of the attempt");
        if (a.expected_)
            fail("ran again after a kept outcome");
        if (f.kept_)
            kept_[a.key_] = f.response_.body_;
    }

    void check(attempt_state& a, const replayed_answer& r)
    {
        ++figures_.replays_;
        if (runs_[a.key_] != 1)
            fail("replay of a call that never ran");
        if (a.expected_ && r.response_.body_ != *a.expected_)
            fail("another outcome than the kept one");
    }

    void check(attempt_state& a, const refusal& r)
    {
        if (r.run_ == execution_status::not_run) {
            ++figures_.not_run_;
            a.told_not_run_ = true;
            if (a.runs_ > 0)
                fail("not_run after a run of the attempt");
        }
        if (r.key_run_ == execution_status::not_run && runs_[a.key_] > 0)
            fail("not_run for the key after a run");
        const bool excused = r.reason_ == refusal_reason::store_unavailable ||
                             r.reason_ == refusal_reason::different_request;
        if (a.expected_ && !excused)
            fail("kept outcome was not returned");
    }

    void obey(int index, const wake_at& w)
    {
        add([this, index, w] {
            if (now_.boot_ < w.time_ && below(2) == 0)
                now_.boot_ = w.time_;
            attempt_state& a = *attempts_[index];
            if (now_.boot_ < w.time_)
                obey(index, w);
            else if (alive(a))
                obey(index, a.machine_->process(tick{}, now_));
        });
    }

    void check_all_ended()
    {
        if (!tasks_.empty())
            fail("work never ended");
        for (const auto& a : attempts_)
            if (alive(*a) && (!a->answered_ || !a->machine_->finished()))
                fail("an attempt never ended");
    }

    // After the faults every key is asked for once more.
    void probe_keys()
    {
        for (int key = 0; key < KEYS; ++key) {
            const int before = runs_[key];
            const int index = start_attempt(key, false);
            run_tasks();
            if (!attempts_[index]->answered_)
                fail("probe without an answer");
            if (before == 0 && runs_[key] == 0)
                count_stuck(key);
        }
    }

    void count_stuck(int key)
    {
        ++figures_.stuck_;
        if (sends_[key] == 0)
            ++figures_.stuck_unsent_;
    }

    void add_to(figures& f) const
    {
        f.attempts_ += figures_.attempts_;
        f.runs_ += figures_.runs_;
        f.replays_ += figures_.replays_;
        f.not_run_ += figures_.not_run_;
        f.store_calls_ += figures_.store_calls_;
        f.stuck_ += figures_.stuck_;
        f.stuck_unsent_ += figures_.stuck_unsent_;
    }

    std::mt19937_64 random_;
    variant variant_;
    moment now_;
    platform::memory_store store_;
    bool store_down_ = false;
    bool faults_ = true;
    std::array<std::uint64_t, DAEMONS> incarnations_{};
    std::vector<std::unique_ptr<attempt_state>> attempts_;
    std::vector<task> tasks_;
    std::map<int, int> runs_;
    std::map<int, int> sends_;
    std::map<int, std::string> kept_;
    figures figures_;
    std::optional<std::string> violation_;
};

} // namespace monsoondock::claims::test
