#pragma once

#include "simulation_parts_test.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoondock::quarantine::test {

// Simulates eight daemons, a store with a delayed watch, groups that are lost
// when they run a particular request, and callers that retry.
class simulation
{
public:
    simulation(std::uint64_t seed, injected_defect defect, faults f)
        : random_(seed), defect_(defect), faults_(f)
    {
        generations_.fill(1);
        for (int d = 0; d < DAEMONS; ++d)
            start_daemon(d);
        for (int i = 0; i < f.harmless_requests_; ++i)
            for (int copies = 1 + random_below(2); copies > 0; --copies)
                schedule_request(
                    i, random_time(f.part_crashers_ > 0 ? 100s : 6s));
        for (int i = 0; i < f.part_crashers_; ++i)
            schedule_request(FIRST_PART_CRASHER - i, random_time(100s));
        const auto first = random_time(3s);
        const bool at_once = random_below(2) == 0;
        for (int d = 0; d < DAEMONS && f.part_crashers_ == 0; ++d)
            schedule_request(
                CRASHER,
                at_once ? first + random_time(20ms) : random_time(60s),
                d);
        for (int k = 0; k < f.daemon_restarts_; ++k)
            schedule_at(
                random_time(20s), [this] { restart(random_below(DAEMONS)); });
        for (int c = 0; c < f.random_crashes_; ++c)
            schedule_at(random_time(20s), [this] {
                crash_group(random_below(GROUPS), 0);
            });
        if (f.store_outage_) {
            schedule_at(random_time(5s), [this] { store_down_ = true; });
            schedule_at(
                20s + random_time(40s), [this] { store_down_ = false; });
        }
    }

    std::optional<std::string> explore(statistics& totals)
    {
        while (!tasks_.empty() && tasks_.begin()->first < SIMULATED_TIME) {
            const auto next = tasks_.begin();
            const auto task = std::move(next->second);
            clock_ = next->first;
            tasks_.erase(next);
            task();
        }
        // A restarted daemon no longer knows its requests in flight, so one
        // more group may be lost without a suspect record.
        if (lost_by_crasher_ > 2 + faults_.daemon_restarts_)
            report_violation(
                make_name("groups lost by one request: ", lost_by_crasher_));
        totals.groups_lost_ += lost_by_crasher_;
        totals.max_groups_lost_ =
            std::max<long>(totals.max_groups_lost_, lost_by_crasher_);
        totals.harmless_requests_ += harmless_requests_;
        totals.completed_ += completed_;
        totals.quarantined_harmless_ += quarantined_harmless_;
        totals.writes_ += writes_;
        const bool strict = faults_.random_crashes_ == 0 &&
                            faults_.max_quarantined_permille_ == 0;
        if (quarantined_harmless_ > 0 && strict)
            report_violation("a harmless request was quarantined");
        return violation_;
    }

private:
    int random_below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random_);
    }

    milliseconds random_time(milliseconds limit)
    {
        return milliseconds(random_below(static_cast<int>(limit.count())));
    }

    void schedule_at(milliseconds when, std::function<void()> task)
    {
        tasks_.emplace(when, std::move(task));
    }

    void schedule_after(milliseconds wait, std::function<void()> task)
    {
        schedule_at(clock_ + wait, std::move(task));
    }

    clock_reading now() const
    {
        return {base::time_point(clock_), wall_time(clock_)};
    }

    void report_violation(std::string description)
    {
        if (!violation_)
            violation_ = std::move(description);
    }

    void start_daemon(int d)
    {
        daemon_state& s = daemons_[d];
        ++s.incarnation_;
        s.serving_generations_ = generations_;
        s.registry_ = std::make_unique<suspect_registry>(
            base::daemon_id{make_name("d", d)},
            make_name(make_name("d", d).append("-"), s.incarnation_)
                .append("-"));
        s.next_watch_version_ = store_.current();
        if (!store_down_)
            execute(d, s.registry_->feed_listed(visible_listing(), now()));
        schedule_watch(d, s.incarnation_);
        schedule_tick(d, s.incarnation_);
    }

    void restart(int d)
    {
        start_daemon(d);
        for (auto& r : requests_)
            if (r->daemon_ == d)
                r->finished_ = true;
    }

    bool is_current_incarnation(int d, int incarnation) const
    {
        return daemons_[d].incarnation_ == incarnation;
    }

    void schedule_watch(int d, int incarnation)
    {
        schedule_after(50ms + random_time(800ms), [this, d, incarnation] {
            if (!is_current_incarnation(d, incarnation))
                return;
            daemon_state& s = daemons_[d];
            if (!store_down_) {
                auto batch =
                    *store_.changes_since("suspects/", s.next_watch_version_);
                s.next_watch_version_ = batch.next_;
                for (auto& change : batch.changes_)
                    hide_trials(change.object_);
                execute(d, s.registry_->feed_changed(batch, now()));
            }
            schedule_watch(d, incarnation);
        });
    }

    void schedule_tick(int d, int incarnation)
    {
        schedule_after(100ms, [this, d, incarnation] {
            if (!is_current_incarnation(d, incarnation))
                return;
            execute(d, daemons_[d].registry_->tick(now()));
            schedule_tick(d, incarnation);
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
        if (defect_ != injected_defect::trials_hidden ||
            object.value_.empty() || object.key_ == PART_RECORD_KEY)
            return;
        auto record = base::value(decode_suspect(object.value_));
        record.trial_.reset();
        object.value_ = encode(record);
    }

    void schedule_request(int content, milliseconds when, int daemon = -1)
    {
        if (content >= 0)
            ++harmless_requests_;
        schedule_at(when, [this, content, daemon] {
            start_request(
                content, daemon < 0 ? random_below(DAEMONS) : daemon, 0);
        });
    }

    void start_request(int content, int daemon, int attempts)
    {
        auto r = std::make_unique<request_state>();
        r->content_ = content;
        r->daemon_ = daemon;
        r->incarnation_ = daemons_[daemon].incarnation_;
        r->attempts_ = attempts;
        r->id_ = {make_name("r", static_cast<long long>(requests_.size()))};
        const int index = static_cast<int>(requests_.size());
        requests_.push_back(std::move(r));
        request_permit(index);
    }

    void request_permit(int index)
    {
        request_state& r = *requests_[index];
        if (r.finished_)
            return;
        ++r.attempts_;
        r.group_.reset();
        dispatch_query q;
        q.request_ = r.id_;
        q.fingerprint_ =
            fingerprint_request({"w"}, {"m"}, make_name("body", r.content_));
        q.workspace_ = {"w"};
        q.deployment_ = {"m"};
        q.parts_ = {COMMON_PART, part_of(r.content_)};
        q.available_groups_ = serving_groups(r.daemon_);
        indices_[r.id_] = index;
        if (q.available_groups_.empty())
            schedule_after(1s, [this, index] { request_permit(index); });
        else
            execute(
                r.daemon_,
                daemons_[r.daemon_].registry_->request_permit(q, now()));
    }

    // Counts a request with the crashing part that begins to run.
    void count_part_run()
    {
        if (lost_by_part_ >= KNOWN_LOSSES &&
            clock_ > part_known_at_ + KNOWLEDGE_TIME &&
            ++late_runs_ > LATE_REQUESTS)
            report_violation("requests with a crashing part go on running");
    }

    void count_part_loss()
    {
        if (++lost_by_part_ == KNOWN_LOSSES)
            part_known_at_ = clock_;
    }

    std::vector<group_instance> serving_groups(int d)
    {
        std::vector<group_instance> serving;
        for (int g = 0; g < GROUPS; ++g)
            if (daemons_[d].serving_generations_[g] != 0)
                serving.push_back(
                    {{make_name("g", g)},
                     {daemons_[d].serving_generations_[g]}});
        return serving;
    }

    void execute(int d, const suspect_registry::commands& commands)
    {
        for (const auto& c : commands)
            std::visit([&](const auto& x) { execute(d, x); }, c);
    }

    void execute(int d, const permit_dispatch& c)
    {
        const int index = indices_[c.request_];
        request_state& r = *requests_[index];
        if (r.finished_)
            return;
        auto groups = c.groups_;
        if (defect_ == injected_defect::not_confined)
            groups = serving_groups(d);
        r.group_ = groups[random_below(static_cast<int>(groups.size()))];
        daemons_[d].registry_->dispatched(r.id_, *r.group_);
        const auto instance = *r.group_;
        schedule_after(random_time(20ms), [this, index, instance] {
            run_request(index, instance);
        });
    }

    bool is_current_instance(const group_instance& g) const
    {
        return generations_[g.group_.value_[1] - '0'] == g.generation_.value_;
    }

    void run_request(int index, const group_instance& instance)
    {
        const int g = instance.group_.value_[1] - '0';
        if (requests_[index]->finished_ || requests_[index]->group_ != instance)
            return;
        if (!is_current_instance(instance)) {
            abandon(index);
            schedule_after(500ms, [this, index] { request_permit(index); });
            return;
        }
        const bool by_part = requests_[index]->content_ <= FIRST_PART_CRASHER;
        if (by_part)
            count_part_run();
        if (requests_[index]->content_ < 0) {
            const auto wait =
                random_below(3) == 0 ? random_time(4s) : random_time(50ms);
            schedule_after(wait, [this, g, instance, by_part] {
                if (!is_current_instance(instance))
                    return;
                if (by_part)
                    count_part_loss();
                else
                    ++lost_by_crasher_;
                crash_group(g, instance.generation_.value_);
            });
            return;
        }
        schedule_after(random_time(4s), [this, index, instance] {
            if (is_current_instance(instance))
                complete(index);
        });
    }

    void abandon(int index)
    {
        request_state& r = *requests_[index];
        r.group_.reset();
        if (is_current_incarnation(r.daemon_, r.incarnation_))
            execute(
                r.daemon_,
                daemons_[r.daemon_].registry_->abandoned(r.id_, now()));
    }

    void complete(int index)
    {
        request_state& r = *requests_[index];
        if (r.finished_)
            return;
        r.finished_ = true;
        ++completed_;
        execute(
            r.daemon_, daemons_[r.daemon_].registry_->completed(r.id_, now()));
    }

    void crash_group(int g, std::uint64_t generation)
    {
        if (generation != 0 && generations_[g] != generation)
            return;
        generation = generations_[g];
        const std::uint64_t next = generation + 1;
        // No instance has this generation, so the group is down until its
        // repair.
        generations_[g] = next + 1000;
        const group_instance lost{{make_name("g", g)}, {generation}};
        for (int d = 0; d < DAEMONS; ++d)
            schedule_after(random_time(2s), [this, d, g, lost] {
                handle_group_loss(d, g, lost);
            });
        schedule_after(
            15s + random_time(10s), [this, g, next] { repair_group(g, next); });
    }

    void handle_group_loss(int d, int g, const group_instance& lost)
    {
        daemon_state& s = daemons_[d];
        if (s.serving_generations_[g] == lost.generation_.value_)
            s.serving_generations_[g] = 0;
        s.registry_->group_lost({"m"}, lost, now());
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            request_state& r = *requests_[i];
            if (r.finished_ || r.daemon_ != d || r.group_ != lost)
                continue;
            if (random_below(2) == 0)
                request_permit(static_cast<int>(i));
            else
                resubmit(r, random_time(3s));
        }
        execute(d, s.registry_->tick(now()));
    }

    void resubmit(request_state& r, milliseconds wait)
    {
        r.finished_ = true;
        const int content = r.content_;
        const int attempts = r.attempts_;
        schedule_after(wait, [this, content, attempts] {
            start_request(content, random_below(DAEMONS), attempts);
        });
    }

    void repair_group(int g, std::uint64_t generation)
    {
        generations_[g] = generation;
        for (int d = 0; d < DAEMONS; ++d)
            schedule_after(random_time(500ms), [this, d, g, generation] {
                if (generations_[g] != generation)
                    return;
                daemons_[d].serving_generations_[g] = generation;
                daemons_[d].registry_->group_added(
                    {{make_name("g", g)}, {generation}}, now());
            });
    }

    void execute(int, const refuse_dispatch& c)
    {
        request_state& r = *requests_[indices_[c.request_]];
        const bool by_part = c.reason_ == quarantine_refusal::part_quarantined;
        if (c.reason_ != quarantine_refusal::quarantined && !by_part) {
            resubmit(r, c.retry_after_ + random_time(500ms));
            return;
        }
        r.finished_ = true;
        if (r.content_ >= 0)
            ++quarantined_harmless_;
        if (r.content_ >= 0 && by_part)
            report_violation("a harmless part was quarantined");
    }

    std::string recorded(const std::string& value) const
    {
        return defect_ == injected_defect::parts_not_recorded
                   ? without_parts(value)
                   : value;
    }

    template <class Effect>
    void write(int d, store_call_id id, Effect effect)
    {
        ++writes_;
        const int incarnation = daemons_[d].incarnation_;
        schedule_after(random_time(100ms), [this, d, incarnation, id, effect] {
            platform::write_outcome outcome = platform::not_reached{"down"};
            if (!store_down_)
                outcome = effect();
            if (!store_down_ && faults_.lost_responses_ &&
                random_below(10) == 0)
                outcome = platform::answer_lost{"lost"};
            schedule_after(
                random_time(100ms), [this, d, incarnation, id, outcome] {
                    if (is_current_incarnation(d, incarnation))
                        execute(
                            d,
                            daemons_[d].registry_->write_answered(
                                id, outcome, now()));
                });
        });
    }

    void execute(int d, const put_suspect& c)
    {
        write(d, c.id_, [this, c]() -> platform::write_outcome {
            if (defect_ == injected_defect::losses_not_recorded)
                return platform::written{store_.current()};
            return store_.put(c.key_, recorded(c.value_), c.condition_);
        });
    }

    void execute(int d, const erase_suspect& c)
    {
        write(d, c.id_, [this, c] { return store_.erase(c.key_, c.version_); });
    }

    void execute(int d, const read_suspect& c)
    {
        const int incarnation = daemons_[d].incarnation_;
        schedule_after(random_time(100ms), [this, d, incarnation, c] {
            if (!is_current_incarnation(d, incarnation))
                return;
            auto& registry = *daemons_[d].registry_;
            if (store_down_)
                execute(d, registry.read_failed(c.id_, now()));
            else
                execute(
                    d,
                    registry.read_answered(c.id_, store_.get(c.key_), now()));
        });
    }

    std::mt19937_64 random_;
    injected_defect defect_;
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
    int lost_by_part_ = 0;
    int late_runs_ = 0;
    milliseconds part_known_at_{0};
    int harmless_requests_ = 0;
    int completed_ = 0;
    int quarantined_harmless_ = 0;
    int writes_ = 0;
    std::optional<std::string> violation_;
};

} // namespace monsoondock::quarantine::test
