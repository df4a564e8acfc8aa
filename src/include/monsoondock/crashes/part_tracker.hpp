#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/crashes/part_crash.hpp>
#include <monsoondock/crashes/part_report.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace monsoondock::crashes {

/// Finds parts of prompts under which hosts crash, among requests that need not
/// have anything else in common. When a host ends, the requests that were in
/// flight on it are suspected, and with them all their shared parts. A part
/// that crashes hosts never gets a complete response, whereas the parts of the
/// other requests do, so that a part is quarantined when several hosts ended
/// under different requests with it and none of its requests was completed,
/// while others were. Daemons exchange crashes, completions and quarantined
/// parts.
class part_tracker
{
public:
    /// Number of hosts that ended under a part when it is quarantined: under
    /// requests whose response had just begun, or under any.
    static constexpr std::size_t min_begun_crashes = 3;
    static constexpr std::size_t min_crashes = 5;
    /// Number of different requests among them.
    static constexpr std::size_t min_requests = 3;
    /// Number of requests without the part that must have been completed within
    /// contrast_time before, among the latest max_completions. Otherwise a
    /// fault that ends most hosts would put the parts that all requests have in
    /// quarantine.
    static constexpr std::size_t min_contrast = 3;
    static constexpr std::chrono::seconds contrast_time{10};
    static constexpr std::size_t max_completions = 32;
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
    /// Time for which a part is quarantined. Within probation_time after it,
    /// one crash is enough to quarantine it again.
    static constexpr std::chrono::minutes quarantine_time{10};
    static constexpr std::chrono::minutes probation_time{60};
    /// Time after its last crash until the crashes of a part expire.
    static constexpr std::chrono::minutes crash_memory{5};
    /// Maximum numbers of parts with crashes, of crashes kept for a part and of
    /// parts with completions.
    static constexpr std::size_t max_suspects = 1024;
    static constexpr std::size_t max_crashes_kept = 16;
    static constexpr std::size_t max_survivors = 8192;
    static constexpr std::size_t max_reported_crashes = 64;


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


    /// Returns the first of the parts that is quarantined.
    std::optional<prompt_part> find_quarantined(
        const std::vector<prompt_part>& parts, base::time_point now) const;


    /// Returns the parts that were quarantined since the last call, for logs.
    std::vector<prompt_part> take_quarantined();

private:
    struct crash_record
    {
        std::uint64_t host_run_ = 0;
        std::uint64_t request_ = 0;
        bool begun_ = false;
        base::time_point time_;
    };

    struct suspect
    {
        std::vector<crash_record> crashes_;
        base::time_point quarantined_until_;
        base::time_point probation_until_;
    };

    struct completion
    {
        std::vector<prompt_part> parts_;
        std::uint64_t host_run_ = 0;
        base::time_point time_;
    };

    /// Returns true when requests without the part were completed shortly
    /// before a time.
    bool has_contrast(prompt_part part, base::time_point time) const;
    /// Returns true when the latest crash, at a time, shows that the part
    /// crashes hosts.
    bool is_guilty(
        prompt_part part, const suspect& s, base::time_point crashed_at) const;
    bool add_record(
        prompt_part part, const crash_record& record, base::time_point now);
    void quarantine(prompt_part part, suspect& s, base::time_point until);
    void apply_due_completions(base::time_point now);
    void schedule_survivor(prompt_part part, base::time_point due);
    void add_survivor(prompt_part part, base::time_point now);
    void make_room(base::time_point now);

    std::unordered_map<prompt_part, suspect> suspects_;
    std::unordered_map<prompt_part, base::time_point> survivors_;
    /// Those whose host may still end within survival_delay.
    std::deque<completion> pending_;
    /// The latest ones.
    std::deque<completion> completions_;
    /// Reports that are due later, by part.
    std::unordered_map<prompt_part, base::time_point> survivors_due_;
    std::unordered_map<prompt_part, base::time_point> quarantined_due_;
    /// When peers were last told that a request with a part was completed.
    std::unordered_map<prompt_part, base::time_point> survivors_told_;
    std::vector<prompt_part> newly_quarantined_;
};

} // namespace monsoondock::crashes
