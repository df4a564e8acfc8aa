#include <monsoondock/crashes/part_tracker.hpp>

#include <algorithm>
#include <set>
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

bool part_tracker::has_survived(prompt_part part, base::time_point now) const
{
    const auto found = survivors_.find(part);
    return found != survivors_.end() && now - found->second < survival_memory;
}


bool part_tracker::has_contrast(prompt_part part, base::time_point time) const
{
    const auto count = std::count_if(
        completions_.begin(), completions_.end(), [&](const completion& c) {
            return c.time_ <= time && time - c.time_ <= contrast_time &&
                   std::find(c.parts_.begin(), c.parts_.end(), part) ==
                       c.parts_.end();
        });
    return static_cast<std::size_t>(count) >= min_contrast;
}


bool part_tracker::is_guilty(
    prompt_part part, const suspect& s, base::time_point crashed_at) const
{
    if (s.crashes_.empty())
        return false;
    if (crashed_at < s.probation_until_)
        return true;
    const auto crashed_hosts = [&s](bool begun_only) {
        std::set<std::uint64_t> hosts;
        std::set<std::uint64_t> requests;
        for (const crash_record& c : s.crashes_) {
            if (begun_only && !c.begun_)
                continue;
            hosts.insert(c.host_run_);
            requests.insert(c.request_);
        }
        return requests.size() < min_requests ? 0 : hosts.size();
    };
    const bool enough = crashed_hosts(true) >= min_begun_crashes ||
                        crashed_hosts(false) >= min_crashes;
    return enough && has_contrast(part, crashed_at);
}


void part_tracker::quarantine(
    prompt_part part, suspect& s, base::time_point until)
{
    s.quarantined_until_ = until;
    s.probation_until_ = until + probation_time;
    s.crashes_.clear();
    newly_quarantined_.push_back(part);
}


// Drops expired suspects and, if there are still too many, the one that was
// suspected longest ago; quarantined parts have the latest times.
void part_tracker::make_room(base::time_point now)
{
    if (suspects_.size() < max_suspects)
        return;
    const auto latest = [](const suspect& s) {
        base::time_point time = s.probation_until_;
        for (const crash_record& c : s.crashes_)
            time = std::max(time, c.time_);
        return time;
    };
    std::erase_if(suspects_, [&](const auto& entry) {
        return latest(entry.second) + crash_memory < now;
    });
    if (suspects_.size() < max_suspects)
        return;
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(), [&](const auto& a, const auto& b) {
            return latest(a.second) < latest(b.second);
        }));
}


// Returns false when the crash is known already or needs no record.
bool part_tracker::add_record(
    prompt_part part, const crash_record& record, base::time_point now)
{
    if (!suspects_.contains(part))
        make_room(now);
    suspect& s = suspects_[part];
    std::erase_if(s.crashes_, [&](const crash_record& c) {
        return now - c.time_ > crash_memory;
    });
    const bool known = std::any_of(
        s.crashes_.begin(), s.crashes_.end(), [&](const crash_record& c) {
            return c.host_run_ == record.host_run_ &&
                   c.request_ == record.request_;
        });
    if (known || now < s.quarantined_until_)
        return false;
    if (s.crashes_.size() >= max_crashes_kept)
        s.crashes_.erase(s.crashes_.begin());
    s.crashes_.push_back(record);
    return true;
}


part_report part_tracker::add_crash(
    const part_crash& crash, milliseconds report_delay, base::time_point now)
{
    part_report report;
    for (const prompt_part part : crash.parts_)
        report.crashes_.push_back(
            {part, crash.host_run_, crash.request_, crash.begun_, crash.age_});
    apply(report, report_delay, now);
    std::erase_if(report.crashes_, [&](const suspected_crash& c) {
        return has_survived(c.part_, now) ||
               find_quarantined({c.part_}, now).has_value();
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
    pending_.push_back({parts, host_run, now});
    completions_.push_back({parts, host_run, now});
    if (completions_.size() > max_completions)
        completions_.pop_front();
}


void part_tracker::apply_due_completions(base::time_point now)
{
    for (; !pending_.empty() && now - pending_.front().time_ >= survival_delay;
         pending_.pop_front()) {
        for (const prompt_part part : pending_.front().parts_) {
            if (suspects_.contains(part))
                schedule_survivor(part, now);
            add_survivor(part, now);
        }
    }
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
    suspects_.erase(part);
    quarantined_due_.erase(part);
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
    for (const quarantined_part& q : report.quarantined_) {
        if (has_survived(q.part_, now)) {
            schedule_survivor(q.part_, now + report_delay);
            continue;
        }
        quarantined_due_.erase(q.part_);
        const base::time_point until =
            now + std::min<milliseconds>(q.remaining_, quarantine_time);
        if (!suspects_.contains(q.part_))
            make_room(now);
        suspect& s = suspects_[q.part_];
        if (now >= s.quarantined_until_ && now < until)
            quarantine(q.part_, s, until);
    }
    for (const suspected_crash& c : report.crashes_) {
        if (has_survived(c.part_, now)) {
            schedule_survivor(c.part_, now + report_delay);
            continue;
        }
        if (c.age_ > crash_memory)
            continue;
        const bool is_new = add_record(
            c.part_, {c.host_run_, c.request_, c.begun_, now - c.age_}, now);
        // Known crashes blame nothing anew: what was lost while nothing was
        // completed tells no part from another.
        suspect& s = suspects_[c.part_];
        if (!is_new || !is_guilty(c.part_, s, now - c.age_))
            continue;
        quarantine(c.part_, s, now + quarantine_time);
        schedule(quarantined_due_, c.part_, now + report_delay);
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
        const auto found = suspects_.find(part);
        if (found != suspects_.end() && now < found->second.quarantined_until_)
            report.quarantined_.push_back(
                {part,
                 to_milliseconds(found->second.quarantined_until_ - now)});
    }
    return report;
}


part_report part_tracker::state(base::time_point now) const
{
    part_report report;
    for (const auto& [part, s] : suspects_) {
        if (now < s.quarantined_until_)
            report.quarantined_.push_back(
                {part, to_milliseconds(s.quarantined_until_ - now)});
        for (const crash_record& c : s.crashes_) {
            if (now - c.time_ <= crash_memory)
                report.crashes_.push_back(
                    {part,
                     c.host_run_,
                     c.request_,
                     c.begun_,
                     to_milliseconds(now - c.time_)});
        }
    }
    std::sort(
        report.quarantined_.begin(),
        report.quarantined_.end(),
        [](const auto& a, const auto& b) { return a.part_ < b.part_; });
    std::sort(
        report.crashes_.begin(),
        report.crashes_.end(),
        [](const auto& a, const auto& b) { return a.age_ < b.age_; });
    if (report.crashes_.size() > max_reported_crashes)
        report.crashes_.resize(max_reported_crashes);
    return report;
}


std::optional<prompt_part> part_tracker::find_quarantined(
    const std::vector<prompt_part>& parts, base::time_point now) const
{
    for (const prompt_part part : parts) {
        const auto found = suspects_.find(part);
        if (found != suspects_.end() && now < found->second.quarantined_until_)
            return part;
    }
    return std::nullopt;
}


std::vector<prompt_part> part_tracker::take_quarantined()
{
    return std::exchange(newly_quarantined_, {});
}

} // namespace monsoondock::crashes
