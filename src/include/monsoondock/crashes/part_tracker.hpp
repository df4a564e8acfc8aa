#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/crashes/lost_request.hpp>
#include <monsoondock/crashes/part_crash.hpp>
#include <monsoondock/crashes/part_quarantine.hpp>
#include <monsoondock/crashes/part_report.hpp>
#include <monsoondock/crashes/trial_policy.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace monsoondock::crashes {

namespace pvt {
struct suspected_set;
}

/// Finds parts of prompts under which hosts crash, among requests that need not
/// have anything else in common. When a host ends, the requests that were in
/// flight on it are suspected, and with them all their shared parts. A part
/// that crashes hosts never gets a complete response, so that a completion
/// clears all parts of its request. What is left in common to the requests
/// under which several hosts ended is put in quarantine as a whole: a request
/// that has only some of these parts is sent, and tests them. Until one more
/// host ended under the parts, one request in a while is sent as a trial, so
/// that a quarantine without cause ends soon. Hosts that ended at the same time
/// blame nothing at a daemon that was just started and has seen no other
/// request completed. Daemons exchange crashes, completions and quarantined
/// parts.
class part_tracker
{
public:
    /// Number of hosts that ended under a set of parts when it is quarantined:
    /// under requests whose response had just begun, or under any.
    static constexpr std::size_t min_begun_crashes = 3;
    static constexpr std::size_t min_crashes = 5;
    /// Number of different requests among them.
    static constexpr std::size_t min_requests = 3;
    /// Number of hosts that ended under some parts of a quarantined set, and
    /// not under the whole of it, when that is narrowed to these parts.
    static constexpr std::size_t min_narrowing_crashes = 2;
    /// Number of requests without the parts that were completed within
    /// contrast_time before, among the latest max_completions, when the parts
    /// are taken to be found without a trial. The hosts must have ended at
    /// different times, too.
    static constexpr std::size_t min_contrast = 3;
    static constexpr std::chrono::seconds contrast_time{10};
    static constexpr std::size_t max_completions = 32;
    /// Time after the start of a daemon in which hosts that end at the same
    /// time blame nothing.
    static constexpr std::chrono::seconds start_time{10};
    /// A part is not suspected for this time after a request with it was
    /// completed.
    static constexpr std::chrono::seconds survival_memory{60};
    /// A response that was complete when its host ended within this time
    /// afterwards proves nothing.
    static constexpr std::chrono::milliseconds survival_delay{500};
    /// A request whose response had been arriving for this time when its host
    /// ended did not cause that and is not to be recorded.
    static constexpr std::chrono::milliseconds max_crash_delay{1000};
    /// Peers are told of a completion at most once in this time for each part.
    static constexpr std::chrono::milliseconds survivor_report_period{1000};
    /// Time for which a set of parts is quarantined at first, and once a host
    /// has ended under it during that time. Within probation_time after it, one
    /// crash is enough to quarantine it again.
    static constexpr std::chrono::minutes trial_time{1};
    /// Time before the first trial, see min_contrast.
    static constexpr std::chrono::minutes trial_delay{1};
    static constexpr std::chrono::minutes quarantine_time{10};
    static constexpr std::chrono::minutes probation_time{60};
    /// Time after its last crash until the crashes of a part expire.
    static constexpr std::chrono::minutes crash_memory{5};
    /// Maximum numbers of lost requests, of quarantined sets and of parts with
    /// completions.
    static constexpr std::size_t max_lost_requests = 128;
    static constexpr std::size_t max_quarantines = 64;
    static constexpr std::size_t max_survivors = 8192;
    static constexpr std::size_t max_reported_crashes = 64;


    explicit part_tracker(trial_policy trials = {});


    /// Records a lost request of this daemon and returns what peers are to be
    /// told at once. Peers are told of quarantined parts by take_report, after
    /// report_delay and unless another daemon does so before.
    part_report add_crash(
        const part_crash& crash,
        std::chrono::milliseconds report_delay,
        base::time_point now);


    /// Records that a request of this daemon received a complete response from
    /// a host.
    void add_completion(
        const std::vector<prompt_part>& parts,
        std::uint64_t host_run,
        base::time_point now);


    /// Records the report of a peer, or one that was kept in the store. What
    /// this daemon knows better is told by take_report after report_delay,
    /// unless another daemon does so before.
    void apply(
        const part_report& report,
        std::chrono::milliseconds report_delay,
        base::time_point now);


    /// Returns what peers are to be told now.
    part_report take_report(base::time_point now);


    /// Returns all that a daemon needs which has just been started or was cut
    /// off: quarantined parts and the latest crashes of others, at most
    /// max_reported_crashes.
    part_report state(base::time_point now) const;


    /// Returns true when a request with the part was completed lately.
    bool has_survived(prompt_part part, base::time_point now) const;


    /// Returns the first quarantined set of parts that a request with these
    /// parts has as a whole.
    std::optional<part_set> find_quarantined(
        const std::vector<prompt_part>& parts, base::time_point now) const;


    /// Decides whether a request for which find_quarantined returns a set is
    /// sent nevertheless, as a trial. daemons is the number of daemons that
    /// decide likewise, random a number from 0 up to 1.
    bool admit_trial(
        const std::vector<prompt_part>& parts,
        std::size_t daemons,
        double random,
        base::time_point now);


    /// Returns the quarantines that began since the last call, for logs.
    std::vector<part_quarantine> take_quarantined();

private:
    struct quarantine
    {
        part_set parts_;
        base::time_point began_;
        base::time_point until_;
        /// When a request was rejected or sent as a trial for it last.
        base::time_point last_match_;
        /// True when a host has ended under it after it began, but with a
        /// request whose response had not begun.
        bool doubtful_crash_ = false;
    };

    struct completion
    {
        part_set parts_;
        std::uint64_t host_run_ = 0;
        base::time_point time_;
    };

    /// How a suspected set relates to the quarantines in force.
    struct comparison
    {
        /// True when requests with the set are rejected already.
        bool is_known_ = false;
        /// Quarantines on trial that the set makes needless: because it has
        /// more parts and explains as much, because it is a part of theirs, or
        /// because it explains more.
        bool is_closer_ = false;
        bool narrows_ = false;
        bool explains_more_ = false;
        std::vector<part_set> replaced_;
        /// When the first of them began.
        base::time_point began_;
    };

    static bool is_on_trial(const quarantine& q, base::time_point now);
    /// Returns true when requests without the parts were completed shortly
    /// before a time.
    bool has_contrast(const part_set& parts, base::time_point time) const;
    /// Returns true when this daemon has seen too little to know what is
    /// completed.
    bool was_just_started(base::time_point now) const;
    void apply_quarantine(
        const quarantined_part& reported,
        std::chrono::milliseconds report_delay,
        base::time_point now);
    void apply_crashes(
        const std::vector<suspected_crash>& crashes,
        std::chrono::milliseconds report_delay,
        base::time_point now);
    void add_lost_request(
        const lost_request& lost,
        std::chrono::milliseconds report_delay,
        base::time_point now);
    /// Prolongs the quarantines that a lost request confirms.
    void confirm(
        const lost_request& lost,
        std::chrono::milliseconds report_delay,
        base::time_point now);
    comparison compare(const pvt::suspected_set& s, base::time_point now) const;
    /// Returns true when a suspected set is to be put in quarantine, unless a
    /// closer one explains as much.
    bool is_convincing(
        const pvt::suspected_set& s,
        const comparison& compared,
        base::time_point now) const;
    /// Puts in quarantine what a lost request has in common with others.
    void blame(
        const lost_request& lost,
        std::chrono::milliseconds report_delay,
        base::time_point now);
    /// Returns the hosts whose ends are explained by a quarantine.
    std::set<std::uint64_t> explained_host_runs(base::time_point now) const;
    void begin(
        const part_set& parts,
        std::chrono::milliseconds time,
        base::time_point began,
        base::time_point now);
    void announce(
        const quarantine& q,
        std::chrono::milliseconds report_delay,
        base::time_point now);
    void apply_due_completions(base::time_point now);
    void schedule_survivor(prompt_part part, base::time_point due);
    void add_survivor(prompt_part part, base::time_point now);
    bool is_suspected(prompt_part part) const;

    trial_policy trials_;
    std::deque<lost_request> lost_;
    std::vector<quarantine> quarantines_;
    std::unordered_map<prompt_part, base::time_point> survivors_;
    base::time_point started_;
    /// Those whose host may still end within survival_delay.
    std::deque<completion> pending_;
    /// The latest ones.
    std::deque<completion> completions_;
    /// Reports that are due later, by part.
    std::unordered_map<prompt_part, base::time_point> survivors_due_;
    std::unordered_map<prompt_part, base::time_point> quarantined_due_;
    /// When peers were last told that a request with a part was completed.
    std::unordered_map<prompt_part, base::time_point> survivors_told_;
    std::vector<part_quarantine> newly_quarantined_;
};

} // namespace monsoondock::crashes
