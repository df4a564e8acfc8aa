#include "crash_support.hpp"

#include <monsoondock/crashes/part_tracker.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace monsoondock::crashes {

namespace {

using std::chrono::milliseconds;


milliseconds to_milliseconds(base::time_point::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}


// Adds a time by part, or replaces a later one.
void schedule(
    std::unordered_map<prompt_part, base::time_point>& due,
    prompt_part part,
    base::time_point time)
{
    const auto [entry, added] = due.try_emplace(part, time);
    if (!added)
        entry->second = std::min(entry->second, time);
}


// Removes and returns the parts whose time has come.
std::vector<prompt_part> take_due(
    std::unordered_map<prompt_part, base::time_point>& due,
    base::time_point now)
{
    std::vector<prompt_part> parts;
    std::erase_if(due, [&](const auto& entry) {
        if (entry.second > now)
            return false;
        parts.push_back(entry.first);
        return true;
    });
    return parts;
}

} // namespace

part_tracker::part_tracker(trial_policy trials) : trials_(trials) {}


bool part_tracker::has_survived(prompt_part part, base::time_point now) const
{
    const auto found = survivors_.find(part);
    return found != survivors_.end() && now - found->second < survival_memory;
}


bool part_tracker::is_suspected(prompt_part part) const
{
    const auto has_part = [part](const auto& entry) {
        return std::binary_search(
            entry.parts_.begin(), entry.parts_.end(), part);
    };
    return std::any_of(lost_.begin(), lost_.end(), has_part) ||
           std::any_of(quarantines_.begin(), quarantines_.end(), has_part);
}


part_report part_tracker::add_crash(
    const part_crash& crash, milliseconds report_delay, base::time_point now)
{
    const part_set parts = to_set(crash.parts_);
    // Peers know a quarantine that needs no more crashes.
    const bool is_needless = std::any_of(
        quarantines_.begin(), quarantines_.end(), [&](const quarantine& q) {
            return now < q.until_ && !is_on_trial(q, now) &&
                   holds(parts, q.parts_);
        });
    part_report report;
    for (const prompt_part part : parts)
        report.crashes_.push_back(
            {part, crash.host_run_, crash.request_, crash.begun_, crash.age_});
    apply(report, report_delay, now);
    std::erase_if(report.crashes_, [&](const suspected_crash& c) {
        return is_needless || has_survived(c.part_, now);
    });
    return report;
}


void part_tracker::add_completion(
    const std::vector<prompt_part>& parts,
    std::uint64_t host_run,
    base::time_point now)
{
    apply_due_completions(now);
    if (parts.empty())
        return;
    const completion c{to_set(parts), host_run, now};
    pending_.push_back(c);
    completions_.push_back(c);
    if (completions_.size() > max_completions)
        completions_.pop_front();
}


void part_tracker::apply_due_completions(base::time_point now)
{
    if (started_ == base::time_point())
        started_ = now;
    for (; !pending_.empty() && now - pending_.front().time_ >= survival_delay;
         pending_.pop_front()) {
        for (const prompt_part part : pending_.front().parts_) {
            if (is_suspected(part))
                schedule_survivor(part, now);
            add_survivor(part, now);
        }
    }
}


// Peers are told of single parts. They infer a set from the crashes.
void part_tracker::announce(
    const quarantine& q, milliseconds report_delay, base::time_point now)
{
    if (q.parts_.size() == 1)
        schedule(quarantined_due_, q.parts_.front(), now + report_delay);
}


void part_tracker::schedule_survivor(prompt_part part, base::time_point due)
{
    const auto told = survivors_told_.find(part);
    if (told == survivors_told_.end() ||
        due - told->second >= survivor_report_period)
        schedule(survivors_due_, part, due);
}


void part_tracker::add_survivor(prompt_part part, base::time_point now)
{
    if (survivors_.size() >= max_survivors && !survivors_.contains(part)) {
        std::erase_if(survivors_, [&](const auto& entry) {
            return now - entry.second >= survival_memory;
        });
        if (survivors_.size() >= max_survivors)
            survivors_.erase(survivors_.begin());
    }
    survivors_[part] = now;
    quarantined_due_.erase(part);
    const auto clear = [part](auto& entry) {
        std::erase(entry.parts_, part);
        return entry.parts_.empty();
    };
    std::erase_if(lost_, clear);
    std::erase_if(quarantines_, clear);
    // What is left of two sets may be the same.
    for (std::size_t i = 0; i < quarantines_.size(); ++i) {
        const quarantine q = quarantines_[i];
        const auto is_shorter = [&q](const quarantine& other) {
            return other.parts_ == q.parts_ && other.until_ < q.until_;
        };
        std::erase_if(quarantines_, is_shorter);
    }
}


void part_tracker::apply(
    const part_report& report, milliseconds report_delay, base::time_point now)
{
    for (const suspected_crash& c : report.crashes_)
        std::erase_if(pending_, [&](const completion& p) {
            return p.host_run_ == c.host_run_ &&
                   now - c.age_ - p.time_ < survival_delay;
        });
    apply_due_completions(now);
    for (const prompt_part part : report.survivors_) {
        add_survivor(part, now);
        survivors_due_.erase(part);
        survivors_told_[part] = now;
    }
    for (const quarantined_part& q : report.quarantined_)
        apply_quarantine(q, report_delay, now);
    apply_crashes(report.crashes_, report_delay, now);
}


void part_tracker::apply_quarantine(
    const quarantined_part& reported,
    milliseconds report_delay,
    base::time_point now)
{
    if (has_survived(reported.part_, now)) {
        schedule_survivor(reported.part_, now + report_delay);
        return;
    }
    quarantined_due_.erase(reported.part_);
    const auto remaining =
        std::min<milliseconds>(reported.remaining_, quarantine_time);
    if (remaining <= milliseconds(0))
        return;
    const part_set parts{reported.part_};
    for (const quarantine& q : quarantines_) {
        if (q.parts_ != parts || now >= q.until_)
            continue;
        // Daemons do not prolong each other's quarantines, except that they
        // learn that one was confirmed.
        if (!is_on_trial(q, now) || remaining <= trial_time)
            return;
    }
    std::erase_if(quarantines_, [&](const quarantine& q) {
        return is_on_trial(q, now) && holds(q.parts_, parts);
    });
    begin(parts, remaining, now, now);
}


void part_tracker::apply_crashes(
    const std::vector<suspected_crash>& crashes,
    milliseconds report_delay,
    base::time_point now)
{
    std::map<std::pair<std::uint64_t, std::uint64_t>, lost_request> lost;
    for (const suspected_crash& c : crashes) {
        if (has_survived(c.part_, now)) {
            schedule_survivor(c.part_, now + report_delay);
            continue;
        }
        if (c.age_ > crash_memory)
            continue;
        lost_request& l = lost[{c.host_run_, c.request_}];
        l.parts_.push_back(c.part_);
        l.host_run_ = c.host_run_;
        l.request_ = c.request_;
        l.begun_ = c.begun_;
        l.time_ = now - c.age_;
    }
    for (auto& [id, l] : lost) {
        l.parts_ = to_set(std::move(l.parts_));
        add_lost_request(l, report_delay, now);
    }
}


part_report part_tracker::take_report(base::time_point now)
{
    apply_due_completions(now);
    std::erase_if(survivors_told_, [&](const auto& entry) {
        return now - entry.second >= survivor_report_period;
    });
    part_report report;
    report.survivors_ = take_due(survivors_due_, now);
    for (const prompt_part part : report.survivors_)
        survivors_told_[part] = now;
    for (const prompt_part part : take_due(quarantined_due_, now)) {
        for (const quarantine& q : quarantines_) {
            if (q.parts_ == part_set{part} && now < q.until_)
                report.quarantined_.push_back(
                    {part, to_milliseconds(q.until_ - now)});
        }
    }
    return report;
}


part_report part_tracker::state(base::time_point now) const
{
    part_report report;
    std::set<std::uint64_t> explained;
    for (const quarantine& q : quarantines_) {
        if (q.parts_.size() > 1 || now >= q.until_)
            continue;
        report.quarantined_.push_back(
            {q.parts_.front(), to_milliseconds(q.until_ - now)});
        explained.merge(pvt::support_of(lost_, q.parts_).host_runs_);
    }
    std::sort(
        report.quarantined_.begin(),
        report.quarantined_.end(),
        [](const auto& a, const auto& b) { return a.part_ < b.part_; });
    std::vector<lost_request> latest;
    for (const lost_request& l : lost_) {
        if (now - l.time_ <= crash_memory && !explained.contains(l.host_run_))
            latest.push_back(l);
    }
    std::stable_sort(
        latest.begin(), latest.end(), [](const auto& a, const auto& b) {
            return a.time_ > b.time_;
        });
    for (const lost_request& l : latest) {
        // A request without some of its parts would blame the others more.
        if (report.crashes_.size() + l.parts_.size() > max_reported_crashes)
            break;
        for (const prompt_part part : l.parts_)
            report.crashes_.push_back(
                {part,
                 l.host_run_,
                 l.request_,
                 l.begun_,
                 to_milliseconds(now - l.time_)});
    }
    return report;
}


std::optional<part_set> part_tracker::find_quarantined(
    const std::vector<prompt_part>& parts, base::time_point now) const
{
    if (quarantines_.empty())
        return std::nullopt;
    const part_set all = to_set(parts);
    for (const quarantine& q : quarantines_) {
        if (now < q.until_ && holds(all, q.parts_))
            return q.parts_;
    }
    return std::nullopt;
}


// A daemon sends each rejected request with a probability in proportion to the
// time since the one before, so that all daemons together send one in each
// interval, at any rate of requests. At first, when a crash would confirm
// nothing, none is sent.
bool part_tracker::admit_trial(
    const std::vector<prompt_part>& parts,
    std::size_t daemons,
    double random,
    base::time_point now)
{
    const part_set all = to_set(parts);
    std::optional<base::time_point> last_match;
    for (quarantine& q : quarantines_) {
        if (now >= q.until_ || !holds(all, q.parts_))
            continue;
        if (!is_on_trial(q, now))
            return false;
        const base::time_point since = std::max(
            {q.last_match_, q.until_ - trial_time, q.began_ + max_crash_delay});
        last_match = std::max(last_match.value_or(since), since);
        q.last_match_ = now;
    }
    if (!last_match)
        return true;
    const std::chrono::duration<double> waited = now - *last_match;
    const std::chrono::duration<double> interval = trials_.interval_;
    return random * double(daemons) * interval.count() < waited.count();
}


std::vector<part_quarantine> part_tracker::take_quarantined()
{
    return std::exchange(newly_quarantined_, {});
}

} // namespace monsoondock::crashes
