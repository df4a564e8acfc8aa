#pragma once

#include "explored_parts_test.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoondock::quarantine::test {

// Eight daemons, a store with a lagging watch, groups that are lost when they
// run one certain request, and callers that send again.
class world
{
public:
    world(std::uint64_t seed, variant v, faults f)
        : random_(seed), variant_(v), faults_(f)
    {
        generations_.fill(1);
        for (int d = 0; d < DAEMONS; ++d)
            start_daemon(d);
        for (int i = 0; i < f.innocents_; ++i)
            for (int copies = 1 + below(2); copies > 0; --copies)
                send(i, any_time(6s));
        const auto first = any_time(3s);
        const bool at_once = below(2) == 0;
        for (int d = 0; d < DAEMONS; ++d)
            send(CRASHER, at_once ? first + any_time(20ms) : any_time(60s), d);
        for (int k = 0; k < f.kills_; ++k)
            at(any_time(20s), [this] { restart(below(DAEMONS)); });
        for (int c = 0; c < f.chance_crashes_; ++c)
            at(any_time(20s), [this] { crash(below(GROUPS), 0); });
        if (f.outage_) {
            at(any_time(5s), [this] { store_down_ = true; });
            at(20s + any_time(40s), [this] { store_down_ = false; });
        }
    }

    std::optional<std::string> explore(figures& f)
    {
        while (!tasks_.empty() && tasks_.begin()->first < END) {
            const auto next = tasks_.begin();
            const auto task = std::move(next->second);
            clock_ = next->first;
            tasks_.erase(next);
            task();
        }
        if (lost_by_crasher_ > 2 + faults_.kills_)
            fail(numbered("groups lost by one request: ", lost_by_crasher_));
        f.groups_lost_ += lost_by_crasher_;
        f.most_groups_lost_ =
            std::max<long>(f.most_groups_lost_, lost_by_crasher_);
        f.innocents_ += innocents_;
        f.completed_ += completed_;
        f.quarantined_innocents_ += quarantined_innocents_;
        f.writes_ += writes_;
        const bool strict =
            faults_.chance_crashes_ == 0 && faults_.shared_fate_permille_ == 0;
        if (quarantined_innocents_ > 0 && strict)
            fail("a harmless request was quarantined");
        return violation_;
    }

private:
    int below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random_);
    }

    milliseconds any_time(milliseconds limit)
    {
        return milliseconds(below(static_cast<int>(limit.count())));
    }

    void at(milliseconds when, std::function<void()> task)
    {
        tasks_.emplace(when, std::move(task));
    }

    void in(milliseconds wait, std::function<void()> task)
    {
        at(clock_ + wait, std::move(task));
    }

    clock_reading now() const
    {
        return {base::time_point(clock_), wall_time(clock_)};
    }

    void fail(std::string what)
    {
        if (!violation_)
            violation_ = std::move(what);
    }

    void start_daemon(int d)
    {
        daemon_state& s = daemons_[d];
        ++s.life_;
        s.whole_ = generations_;
        s.registry_ = std::make_unique<suspect_registry>(
            base::daemon_id{numbered("d", d)},
            numbered(numbered("d", d).append("-"), s.life_).append("-"));
        s.feed_from_ = store_.current();
        if (!store_down_)
            obey(d, s.registry_->feed_listed(visible_listing(), now()));
        schedule_watch(d, s.life_);
        schedule_tick(d, s.life_);
    }

    void restart(int d)
    {
        start_daemon(d);
        for (auto& r : requests_)
            if (r->daemon_ == d)
                r->over_ = true;
    }

    bool lives(int d, int life) const
    {
        return daemons_[d].life_ == life;
    }

    void schedule_watch(int d, int life)
    {
        in(50ms + any_time(800ms), [this, d, life] {
            if (!lives(d, life))
                return;
            daemon_state& s = daemons_[d];
            if (!store_down_) {
                auto batch = *store_.changes_since("suspects/", s.feed_from_);
                s.feed_from_ = batch.next_;
                for (auto& change : batch.changes_)
                    hide_trials(change.object_);
                obey(d, s.registry_->feed_changed(batch, now()));
            }
            schedule_watch(d, life);
        });
    }

    void schedule_tick(int d, int life)
    {
        in(100ms, [this, d, life] {
            if (!lives(d, life))
                return;
            obey(d, daemons_[d].registry_->tick(now()));
            schedule_tick(d, life);
        });
    }

    platform::listing visible_listing()
    {
        auto listing = store_.list("suspects/");
        for (auto& object : listing.objects_)
            hide_trials(object);
        return listing;
    }

    void hide_trials(platform::object& object)
    {
        if (variant_ != variant::trials_hidden || object.value_.empty())
            return;
        auto record = base::value(decode_suspect(object.value_));
        record.trial_.reset();
        object.value_ = encode(record);
    }

    void send(int content, milliseconds when, int daemon = -1)
    {
        if (content != CRASHER)
            ++innocents_;
        at(when, [this, content, daemon] {
            arrive(content, daemon < 0 ? below(DAEMONS) : daemon, 0);
        });
    }

    void arrive(int content, int daemon, int asks)
    {
        auto r = std::make_unique<request_state>();
        r->content_ = content;
        r->daemon_ = daemon;
        r->life_ = daemons_[daemon].life_;
        r->asks_ = asks;
        r->id_ = {numbered("r", static_cast<long long>(requests_.size()))};
        const int index = static_cast<int>(requests_.size());
        requests_.push_back(std::move(r));
        ask(index);
    }

    void ask(int index)
    {
        request_state& r = *requests_[index];
        if (r.over_)
            return;
        ++r.asks_;
        r.group_.reset();
        dispatch_query q;
        q.request_ = r.id_;
        q.fingerprint_ =
            fingerprint_request({"w"}, {"m"}, numbered("body", r.content_));
        q.workspace_ = {"w"};
        q.deployment_ = {"m"};
        q.available_groups_ = whole_groups(r.daemon_);
        indices_[r.id_] = index;
        if (q.available_groups_.empty())
            in(1s, [this, index] { ask(index); });
        else
            obey(
                r.daemon_,
                daemons_[r.daemon_].registry_->request_permit(q, now()));
    }

    std::vector<group_instance> whole_groups(int d)
    {
        std::vector<group_instance> whole;
        for (int g = 0; g < GROUPS; ++g)
            if (daemons_[d].whole_[g] != 0)
                whole.push_back({{numbered("g", g)}, {daemons_[d].whole_[g]}});
        return whole;
    }

    void obey(int d, const suspect_registry::commands& commands)
    {
        for (const auto& c : commands)
            std::visit([&](const auto& x) { obey(d, x); }, c);
    }

    void obey(int d, const permit_dispatch& c)
    {
        const int index = indices_[c.request_];
        request_state& r = *requests_[index];
        if (r.over_)
            return;
        auto groups = c.groups_;
        if (variant_ == variant::not_confined)
            groups = whole_groups(d);
        r.group_ = groups[below(static_cast<int>(groups.size()))];
        daemons_[d].registry_->dispatched(r.id_, *r.group_);
        const auto instance = *r.group_;
        in(any_time(20ms), [this, index, instance] { run(index, instance); });
    }

    bool standing(const group_instance& g) const
    {
        return generations_[g.group_.value_[1] - '0'] == g.generation_.value_;
    }

    void run(int index, const group_instance& instance)
    {
        const int g = instance.group_.value_[1] - '0';
        if (requests_[index]->over_ || requests_[index]->group_ != instance)
            return;
        if (!standing(instance)) {
            leave(index);
            in(500ms, [this, index] { ask(index); });
            return;
        }
        if (requests_[index]->content_ == CRASHER) {
            const auto wait = below(3) == 0 ? any_time(4s) : any_time(50ms);
            in(wait, [this, g, instance] {
                if (!standing(instance))
                    return;
                ++lost_by_crasher_;
                crash(g, instance.generation_.value_);
            });
            return;
        }
        in(any_time(4s), [this, index, instance] {
            if (standing(instance))
                complete(index);
        });
    }

    void leave(int index)
    {
        request_state& r = *requests_[index];
        r.group_.reset();
        if (lives(r.daemon_, r.life_))
            obey(
                r.daemon_,
                daemons_[r.daemon_].registry_->abandoned(r.id_, now()));
    }

    void complete(int index)
    {
        request_state& r = *requests_[index];
        if (r.over_)
            return;
        r.over_ = true;
        ++completed_;
        obey(r.daemon_, daemons_[r.daemon_].registry_->completed(r.id_, now()));
    }

    void crash(int g, std::uint64_t generation)
    {
        if (generation != 0 && generations_[g] != generation)
            return;
        generation = generations_[g];
        const std::uint64_t next = generation + 1;
        generations_[g] = next + 1000;
        const group_instance lost{{numbered("g", g)}, {generation}};
        for (int d = 0; d < DAEMONS; ++d)
            in(any_time(2s), [this, d, g, lost] { notice(d, g, lost); });
        in(15s + any_time(10s), [this, g, next] { repair(g, next); });
    }

    void notice(int d, int g, const group_instance& lost)
    {
        daemon_state& s = daemons_[d];
        if (s.whole_[g] == lost.generation_.value_)
            s.whole_[g] = 0;
        s.registry_->group_lost({"m"}, lost, now());
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            request_state& r = *requests_[i];
            if (r.over_ || r.daemon_ != d || r.group_ != lost)
                continue;
            if (below(2) == 0)
                ask(static_cast<int>(i));
            else
                come_back(r, any_time(3s));
        }
        obey(d, s.registry_->tick(now()));
    }

    void come_back(request_state& r, milliseconds wait)
    {
        r.over_ = true;
        const int content = r.content_;
        const int asks = r.asks_;
        in(wait,
           [this, content, asks] { arrive(content, below(DAEMONS), asks); });
    }

    void repair(int g, std::uint64_t generation)
    {
        generations_[g] = generation;
        for (int d = 0; d < DAEMONS; ++d)
            in(any_time(500ms), [this, d, g, generation] {
                if (generations_[g] != generation)
                    return;
                daemons_[d].whole_[g] = generation;
                daemons_[d].registry_->group_entered(
                    {{numbered("g", g)}, {generation}}, now());
            });
    }

    void obey(int, const refuse_dispatch& c)
    {
        request_state& r = *requests_[indices_[c.request_]];
        if (c.reason_ != quarantine_refusal::quarantined) {
            come_back(r, c.retry_after_ + any_time(500ms));
            return;
        }
        r.over_ = true;
        if (r.content_ != CRASHER)
            ++quarantined_innocents_;
    }

    template <class Effect>
    void write(int d, store_call_id id, Effect effect)
    {
        ++writes_;
        const int life = daemons_[d].life_;
        in(any_time(100ms), [this, d, life, id, effect] {
            platform::write_outcome outcome = platform::not_reached{"down"};
            if (!store_down_)
                outcome = effect();
            if (!store_down_ && faults_.lost_answers_ && below(10) == 0)
                outcome = platform::answer_lost{"lost"};
            in(any_time(100ms), [this, d, life, id, outcome] {
                if (lives(d, life))
                    obey(
                        d,
                        daemons_[d].registry_->write_answered(
                            id, outcome, now()));
            });
        });
    }

    void obey(int d, const put_suspect& c)
    {
        write(d, c.id_, [this, c]() -> platform::write_outcome {
            if (variant_ == variant::losses_not_recorded)
                return platform::written{store_.current()};
            return store_.put(c.key_, c.value_, c.condition_);
        });
    }

    void obey(int d, const erase_suspect& c)
    {
        write(d, c.id_, [this, c] { return store_.erase(c.key_, c.version_); });
    }

    void obey(int d, const read_suspect& c)
    {
        const int life = daemons_[d].life_;
        in(any_time(100ms), [this, d, life, c] {
            if (!lives(d, life))
                return;
            auto& registry = *daemons_[d].registry_;
            if (store_down_)
                obey(d, registry.read_failed(c.id_, now()));
            else
                obey(
                    d,
                    registry.read_answered(c.id_, store_.get(c.key_), now()));
        });
    }

    std::mt19937_64 random_;
    variant variant_;
    faults faults_;
    milliseconds clock_{0};
    std::multimap<milliseconds, std::function<void()>> tasks_;
    platform::memory_store store_;
    bool store_down_ = false;
    std::array<std::uint64_t, GROUPS> generations_{};
    std::array<daemon_state, DAEMONS> daemons_;
    std::vector<std::unique_ptr<request_state>> requests_;
    std::map<base::request_id, int> indices_;
    int lost_by_crasher_ = 0;
    int innocents_ = 0;
    int completed_ = 0;
    int quarantined_innocents_ = 0;
    int writes_ = 0;
    std::optional<std::string> violation_;
};

} // namespace monsoondock::quarantine::test
