#include "crash_support.hpp"

#include <monsoondock/crashes/part_tracker.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::crashes {

// How part_tracker infers from lost requests which parts crash hosts.

namespace {

using std::chrono::milliseconds;


bool is_sufficient(const pvt::crash_support& s)
{
    const auto has_requests = [](const std::set<std::uint64_t>& requests) {
        return requests.size() >= part_tracker::min_requests;
    };
    return (s.begun_host_runs_.size() >= part_tracker::min_begun_crashes &&
            has_requests(s.begun_requests_)) ||
           (s.host_runs_.size() >= part_tracker::min_crashes &&
            has_requests(s.requests_));
}


// Returns true when the second set has all elements of the first and more.
bool is_part_of(
    const std::set<std::uint64_t>& some, const std::set<std::uint64_t>& all)
{
    return some.size() < all.size() &&
           std::includes(all.begin(), all.end(), some.begin(), some.end());
}

} // namespace

bool part_tracker::is_on_trial(const quarantine& q, base::time_point now)
{
    return now < q.until_ && q.until_ - now <= trial_time;
}


bool part_tracker::has_contrast(
    const part_set& parts, base::time_point time) const
{
    const auto count = std::count_if(
        completions_.begin(), completions_.end(), [&](const completion& c) {
            return c.time_ <= time && time - c.time_ <= contrast_time &&
                   !holds(c.parts_, parts);
        });
    return static_cast<std::size_t>(count) >= min_contrast;
}


bool part_tracker::was_just_started(base::time_point now) const
{
    return now - started_ < start_time;
}


std::set<std::uint64_t>
part_tracker::explained_host_runs(base::time_point now) const
{
    std::set<std::uint64_t> host_runs;
    for (const quarantine& q : quarantines_) {
        if (now < q.until_)
            host_runs.merge(pvt::support_of(lost_, q.parts_).host_runs_);
    }
    return host_runs;
}


// Adds a quarantine or prolongs one. When there are too many, the one that ends
// first is dropped.
void part_tracker::begin(
    const part_set& parts,
    milliseconds time,
    base::time_point began,
    base::time_point now)
{
    std::erase_if(quarantines_, [&](const quarantine& q) {
        return q.parts_ == parts || now >= q.until_ + probation_time;
    });
    if (quarantines_.size() >= max_quarantines)
        quarantines_.erase(std::min_element(
            quarantines_.begin(),
            quarantines_.end(),
            [](const quarantine& a, const quarantine& b) {
                return a.until_ < b.until_;
            }));
    const quarantine q{parts, began, now + time, now, false};
    quarantines_.push_back(q);
    newly_quarantined_.push_back({parts, time, is_on_trial(q, now)});
}


// A host that ends soon after the quarantine began may have ended together with
// those for which it began.
void part_tracker::confirm(
    const lost_request& lost, milliseconds report_delay, base::time_point now)
{
    std::vector<part_set> confirmed;
    for (quarantine& q : quarantines_) {
        const bool is_firm = now < q.until_ && !is_on_trial(q, now);
        if (is_firm || now >= q.until_ + probation_time ||
            lost.time_ < q.began_ + max_crash_delay ||
            !holds(lost.parts_, q.parts_))
            continue;
        if (lost.begun_ || !trials_.knows_begun_ ||
            std::exchange(q.doubtful_crash_, true))
            confirmed.push_back(q.parts_);
    }
    for (const part_set& parts : confirmed) {
        begin(parts, quarantine_time, now, now);
        announce(quarantines_.back(), report_delay, now);
    }
}


// Compares a suspected set with the quarantines in force.
part_tracker::comparison
part_tracker::compare(const pvt::suspected_set& s, base::time_point now) const
{
    comparison result;
    result.began_ = now;
    for (const quarantine& q : quarantines_) {
        if (now >= q.until_)
            continue;
        const bool on_trial = is_on_trial(q, now);
        const pvt::crash_support others = pvt::support_of(lost_, q.parts_);
        bool replaces = true;
        if (on_trial && q.parts_ != s.parts_ && holds(s.parts_, q.parts_) &&
            pvt::explains_as_much(s.support_, others))
            result.is_closer_ = true;
        else if (holds(s.parts_, q.parts_))
            result.is_known_ = true;
        else if (on_trial && holds(q.parts_, s.parts_))
            result.narrows_ = true;
        else if (
            on_trial && is_part_of(others.host_runs_, s.support_.host_runs_))
            result.explains_more_ = true;
        else
            replaces = false;
        if (!replaces)
            continue;
        result.replaced_.push_back(q.parts_);
        result.began_ = std::min(result.began_, q.began_);
    }
    return result;
}


bool part_tracker::is_convincing(
    const pvt::suspected_set& s,
    const comparison& compared,
    base::time_point now) const
{
    if (compared.is_known_)
        return false;
    if (compared.is_closer_)
        return true;
    if (!is_sufficient(s.support_))
        return false;
    if (compared.explains_more_ && !compared.narrows_)
        return true;
    const auto explained = explained_host_runs(now);
    const auto unexplained = std::count_if(
        s.support_.host_runs_.begin(),
        s.support_.host_runs_.end(),
        [&](std::uint64_t h) { return !explained.contains(h); });
    return static_cast<std::size_t>(unexplained) >=
           (compared.narrows_ ? min_narrowing_crashes : min_begun_crashes);
}


void part_tracker::blame(
    const lost_request& lost, milliseconds report_delay, base::time_point now)
{
    for (const pvt::suspected_set& s : pvt::suspected_sets(lost_, lost)) {
        const bool at_once =
            s.support_.last_ - s.support_.first_ < max_crash_delay;
        const bool has_others = has_contrast(s.parts_, lost.time_);
        if (at_once && was_just_started(now) && !has_others)
            continue;
        const comparison compared = compare(s, now);
        if (!is_convincing(s, compared, now) ||
            pvt::has_closer_explanation(lost_, s))
            continue;
        std::erase_if(quarantines_, [&](const quarantine& q) {
            const auto& sets = compared.replaced_;
            return std::find(sets.begin(), sets.end(), q.parts_) != sets.end();
        });
        begin(
            s.parts_,
            !at_once && has_others ? trial_delay + trial_time : trial_time,
            compared.began_,
            now);
        announce(quarantines_.back(), report_delay, now);
    }
}


void part_tracker::add_lost_request(
    const lost_request& lost, milliseconds report_delay, base::time_point now)
{
    std::erase_if(lost_, [&](const lost_request& l) {
        return now - l.time_ > crash_memory;
    });
    const bool is_known =
        std::any_of(lost_.begin(), lost_.end(), [&](const lost_request& l) {
            return l.host_run_ == lost.host_run_ && l.request_ == lost.request_;
        });
    if (is_known)
        return;
    if (lost_.size() >= max_lost_requests)
        lost_.pop_front();
    lost_.push_back(lost);
    blame(lost, report_delay, now);
    confirm(lost, report_delay, now);
}

} // namespace monsoondock::crashes
