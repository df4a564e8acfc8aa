#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/crashes/part_tracker.hpp>
#include <monsoondock/platform/write_outcome.hpp>
#include <monsoondock/quarantine/dispatch_query.hpp>
#include <monsoondock/quarantine/quarantine_command.hpp>
#include <monsoondock/quarantine/suspect_feed.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace monsoondock::quarantine {

/// The current time on the monotonic boot clock and on the wall clock.
struct clock_reading
{
    base::time_point boot_;
    wall_time wall_;
};


/// Timeouts and limits of the registry.
struct quarantine_timing
{
    /// How long a lost group keeps its place in the ranking, how long a new
    /// group gets no request that may crash it, and how long the watch must
    /// have been up before a trial. Must exceed the time that suspect records
    /// need to reach every daemon.
    std::chrono::milliseconds hold_down_{20000};
    /// Age of the last watch response above which trials are refused.
    std::chrono::milliseconds max_feed_age_{12000};
    /// Age above which a trial that has not ended may be replaced.
    std::chrono::milliseconds trial_timeout_{900000};
    /// Initial and maximum backoff before a failed store call is retried. The
    /// maximum must stay well below hold_down_.
    std::chrono::milliseconds initial_write_backoff_{250};
    std::chrono::milliseconds max_write_backoff_{4000};
    /// Time after which callers are told to retry a refused request.
    std::chrono::milliseconds retry_after_{2000};
    /// The same for a request with a part under which groups were lost.
    std::chrono::milliseconds part_retry_after_{60000};
    /// Daemons that have the same to say of parts of prompts say it at times
    /// that are spread over this, so that the first one spares the others
    /// theirs. Minimum time between two such writes of a daemon.
    std::chrono::milliseconds part_report_spread_{500};
    /// Time in which all daemons together send about one request with a part
    /// that is on trial; see crashes::trial_policy.
    std::chrono::milliseconds part_trial_interval_{10000};
    /// Maximum number of remembered fingerprints of harmless requests, which
    /// are not confined.
    std::size_t max_harmless_ = 65536;
};


/// Limits how many groups a request that crashes its group can take down. The
/// registry of a daemon decides whether and on which groups each request may
/// run. A request that was in flight on a lost group becomes a suspect and is
/// recorded in the store; a suspect runs again only as a trial, one at a time,
/// and is quarantined after QUARANTINE_LOSSES lost groups. The registry does no
/// I/O and reads no clock; its functions return the commands to execute.
class suspect_registry
{
public:
    using commands = std::vector<quarantine_command>;

    /// token_prefix must be unique to each start of each daemon.
    suspect_registry(
        base::daemon_id self,
        std::string token_prefix,
        quarantine_timing timing = {});


    /// Requests permission to dispatch a request. The answer, permit_dispatch
    /// or refuse_dispatch, is among the commands returned by this or a later
    /// call. A request that is already in flight is refused.
    commands request_permit(const dispatch_query& query, clock_reading now);


    /// Records the group to which a permitted request is sent.
    void
    dispatched(const base::request_id& request, const group_instance& group);


    /// The request received its complete response.
    commands completed(const base::request_id& request, clock_reading now);


    /// A request on trial has run well past the point at which its group was
    /// lost before. Its record is deleted and its group becomes free for
    /// another trial. If the group is lost later, that counts as the first
    /// loss.
    commands trial_passed(const base::request_id& request, clock_reading now);


    /// The request ended without a complete response while its group continued
    /// to serve, or its caller disconnected before the dispatch was permitted.
    commands abandoned(const base::request_id& request, clock_reading now);


    /// The group was lost. Requests in flight on it become suspects and need a
    /// new permit to be sent again. The caller must call tick afterwards.
    void group_lost(
        const base::deployment_id& deployment,
        const group_instance& group,
        clock_reading now);


    /// The group no longer accepts requests but is not known to be lost. It
    /// keeps its place in the ranking for hold_down_, and requests in flight on
    /// it continue.
    void group_withdrawn(
        const base::deployment_id& deployment,
        const group_instance& group,
        clock_reading now);


    /// The group started to accept requests. During hold_down_ it gets no
    /// request that may crash it: copies of a request that were confined before
    /// the group was added may still crash the group that it replaced in the
    /// ranking. If all groups, including those lost recently, are new in this
    /// sense, they all get requests immediately.
    void group_added(const group_instance& group, clock_reading now);


    /// Response of the store to put_suspect or erase_suspect.
    commands write_answered(
        store_call_id id,
        const platform::write_outcome& outcome,
        clock_reading now);


    /// Response of the store to read_suspect; no object if the key is absent.
    commands read_answered(
        store_call_id id,
        const std::optional<platform::object>& object,
        clock_reading now);


    /// The store did not respond to read_suspect.
    commands read_failed(store_call_id id, clock_reading now);


    /// The watch was restarted with this listing of SUSPECT_PREFIX.
    commands feed_listed(const platform::listing& listing, clock_reading now);


    /// The watch returned a batch of changes, which may be empty.
    commands
    feed_changed(const platform::change_batch& batch, clock_reading now);


    /// Retries pending store calls and removes expired state. Must be called
    /// after group_lost and about every 100 ms.
    commands tick(clock_reading now);


    /// Returns the parts of prompts that were quarantined since the last call,
    /// for logs.
    std::vector<crashes::part_quarantine> take_quarantined_parts();


    /// Returns this daemon's copy of the suspect records.
    const suspect_feed& feed() const noexcept
    {
        return feed_;
    }

private:
    enum class trial_phase
    {
        none,
        requested,
        running,
        succeeded,
        ended
    };

    // Known and intended state of one fingerprint.
    struct suspect_entry
    {
        dispatch_query query_;
        std::optional<stored_suspect> stored_;
        // Store version of the latest known state, including a deletion.
        platform::version latest_version_;
        std::set<group_instance> unrecorded_losses_;
        trial_phase phase_ = trial_phase::none;
        trial trial_;
        std::optional<store_call_id> pending_call_;
        std::optional<suspect_record> pending_record_;
        base::time_point next_write_at_;
        std::chrono::milliseconds backoff_{0};
    };

    struct in_flight_request
    {
        suspect_fingerprint fingerprint_;
        group_instance group_;
        bool dispatched_ = false;
        bool trial_ = false;
    };

    // A group that was lost or withdrawn.
    struct lost_group
    {
        base::deployment_id deployment_;
        group_instance group_;
        base::time_point lost_at_;
    };

    struct added_group
    {
        group_instance group_;
        base::time_point added_at_;
    };

    bool is_idle(const suspect_entry& e) const;
    bool is_own(const trial& t) const;
    bool has_stale_trial(const suspect_entry& e) const;
    suspect_entry& find_or_add_entry(const dispatch_query& query);
    suspect_record merged_record(const suspect_entry& e) const;
    bool is_feed_fresh(clock_reading now) const;
    bool is_feed_settled(clock_reading now) const;
    bool is_overdue(const trial& t, clock_reading now) const;
    bool is_lost(const group_instance& group) const;
    bool is_recorded_lost(const group_instance& group) const;
    bool is_held(const lost_group& lost, clock_reading now) const;
    bool is_newly_added(const group_instance& group, clock_reading now) const;
    std::set<base::group_id>
    held_groups(const base::deployment_id& deployment, clock_reading now) const;
    std::set<base::group_id>
    excluded_groups(const dispatch_query& query, clock_reading now) const;
    std::vector<base::group_id>
    ranked_groups(const dispatch_query& query, clock_reading now) const;
    std::vector<group_instance>
    confined_groups(const dispatch_query& query, clock_reading now) const;
    bool is_group_on_trial(
        const base::group_id& group,
        const suspect_fingerprint& except,
        platform::version before,
        clock_reading now) const;
    std::optional<group_instance>
    choose_trial_group(const suspect_entry& e, clock_reading now) const;
    void permit_confined(const dispatch_query& query, clock_reading now);
    void request_trial(
        suspect_entry& e, const dispatch_query& query, clock_reading now);
    void refuse(const base::request_id& request, quarantine_refusal reason);
    void cancel_trial(suspect_entry& e, quarantine_refusal reason);
    void check_trial(suspect_entry& e, clock_reading now);
    void replace_overdue_trial(
        suspect_entry& e, suspect_record& target, clock_reading now);
    suspect_record target_record(suspect_entry& e, clock_reading now);
    void schedule_retry(suspect_entry& e, clock_reading now);
    void purge_expired(clock_reading now);
    void reconcile(suspect_entry& e, clock_reading now);
    void write(suspect_entry& e, suspect_record target);
    void erase(suspect_entry& e);
    void read(suspect_entry& e);
    void
    apply_write(suspect_entry& e, platform::version version, clock_reading now);
    void merge_feed(clock_reading now);
    void add_entries_of_own_trials();
    bool is_rejected_for_parts(const dispatch_query& query, clock_reading now);
    void apply_recorded_parts(clock_reading now);
    void write_parts(clock_reading now);
    void
    parts_answered(const platform::write_outcome& outcome, clock_reading now);
    std::chrono::milliseconds part_report_delay() const;
    void reconcile_all(clock_reading now);
    void remember_harmless(const suspect_fingerprint& fingerprint);
    store_call_id next_call();
    commands take_commands();

    base::daemon_id self_;
    std::string token_prefix_;
    quarantine_timing timing_;
    suspect_feed feed_;
    bool feed_started_ = false;
    base::time_point last_feed_update_;
    base::time_point feed_fresh_since_;
    std::map<suspect_fingerprint, suspect_entry> entries_;
    std::map<base::request_id, in_flight_request> in_flight_requests_;
    std::map<store_call_id, suspect_fingerprint> calls_;
    std::vector<lost_group> lost_;
    std::vector<added_group> added_;
    crashes::part_tracker part_tracker_;
    // The part record, and the version of the suspect records, as last applied
    // to the tracker.
    part_record applied_parts_;
    platform::version applied_version_;
    // What is still to be written to the part record, and the part of it that
    // a pending call writes.
    crashes::part_report unrecorded_parts_;
    crashes::part_report pending_parts_;
    std::optional<store_call_id> parts_call_;
    base::time_point next_parts_write_;
    std::unordered_set<suspect_fingerprint> harmless_;
    std::uint64_t last_call_ = 0;
    std::uint64_t last_token_ = 0;
    commands commands_;
};

} // namespace monsoondock::quarantine
