#pragma once

#include <monsoondock/base/boot_clock.hpp>
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

/// The present on both clocks.
struct clock_reading
{
    base::time_point boot_;
    wall_time wall_;
};


/// Bounds of the registry.
struct quarantine_timing
{
    /// How long a lost group keeps its place in the ranking, and how long a
    /// watch must have gone on before a trial. Longer than suspects need to
    /// reach every daemon.
    std::chrono::milliseconds hold_{20000};
    /// Age of the last answer of the watch above which trials are refused.
    std::chrono::milliseconds feed_bound_{12000};
    /// Age above which a trial whose daemon is silent may be replaced.
    std::chrono::milliseconds trial_bound_{900000};
    /// Pauses before a write that the store did not take is tried again. The
    /// last one must stay well below hold_.
    std::chrono::milliseconds first_write_pause_{250};
    std::chrono::milliseconds last_write_pause_{4000};
    std::chrono::milliseconds retry_after_{2000};
    /// Harmless fingerprints remembered, which leave the confinement.
    std::size_t harmless_limit_ = 65536;
};


/// Decides for every request of one daemon whether and on which groups it may
/// run, and records requests that were in flight on lost groups. It does no
/// I/O and reads no clock; each function returns the commands that follow.
class suspect_registry
{
public:
    using commands = std::vector<quarantine_command>;

    /// token_prefix must differ for each life of each daemon.
    suspect_registry(
        base::daemon_id self,
        std::string token_prefix,
        quarantine_timing timing = {});


    /// Asks for leave to send. The answer, permit_dispatch or
    /// refuse_dispatch, comes at once or with a later call. A request that is
    /// in flight is refused.
    commands request_permit(const dispatch_query& question, clock_reading now);


    /// Tells which group a permitted request goes to.
    void
    dispatched(const base::request_id& request, const group_instance& group);


    /// The request got its whole answer.
    commands completed(const base::request_id& request, clock_reading now);


    /// A suspect has come well past the point where it stood when its group was
    /// lost. Its record is deleted and its group is free for another; if the
    /// group is lost later that counts as a first loss.
    commands trial_passed(const base::request_id& request, clock_reading now);


    /// The request ended in another way while its group went on, or its caller
    /// left before leave was given.
    commands abandoned(const base::request_id& request, clock_reading now);


    /// The group was lost. Requests in flight on it become suspects; a daemon
    /// that wants to send one again asks again. Call tick after that.
    void group_lost(
        const base::deployment_id& deployment,
        const group_instance& group,
        clock_reading now);


    /// The group no longer takes requests, without being known as lost. It
    /// keeps its place in the ranking for a while, and requests in flight go
    /// on.
    void group_left(
        const base::deployment_id& deployment,
        const group_instance& group,
        clock_reading now);


    /// The group began to take requests. For hold_ it gets no request that may
    /// crash it, as copies that were confined before it entered may still cost
    /// the group whose place it took. Where every group is that new, those
    /// lost lately included, all of them take requests at once.
    void group_entered(const group_instance& group, clock_reading now);


    /// Answer to put_suspect or erase_suspect.
    commands write_answered(
        store_call_id id,
        const platform::write_outcome& outcome,
        clock_reading now);


    /// Answer to read_suspect.
    commands read_answered(
        store_call_id id,
        const std::optional<platform::object>& object,
        clock_reading now);


    /// The store gave no answer to read_suspect.
    commands read_failed(store_call_id id, clock_reading now);


    /// The watch was started anew with this listing of SUSPECT_PREFIX.
    commands feed_listed(const platform::listing& listing, clock_reading now);


    /// The watch answered, with or without changes.
    commands
    feed_changed(const platform::change_batch& batch, clock_reading now);


    /// Sends what waits. Call it after group_lost and every 100 ms or so.
    commands tick(clock_reading now);


    /// Returns the suspects as this daemon knows them.
    const suspect_feed& feed() const noexcept
    {
        return feed_;
    }

private:
    enum class trial_phase
    {
        none,
        wanted,
        running,
        succeeded,
        ended
    };

    // What this daemon knows of and wants for one fingerprint.
    struct entry
    {
        dispatch_query question_;
        std::optional<stored_suspect> stored_;
        // Version of the last state known, also of a deletion.
        platform::version known_;
        std::set<group_instance> losses_;
        trial_phase phase_ = trial_phase::none;
        trial trial_;
        std::optional<store_call_id> outstanding_;
        std::optional<suspect_record> written_;
        base::time_point not_before_;
        std::chrono::milliseconds pause_{0};
    };

    struct flight
    {
        suspect_fingerprint fingerprint_;
        group_instance group_;
        bool dispatched_ = false;
        bool trial_ = false;
    };

    struct lost_group
    {
        base::deployment_id deployment_;
        group_instance group_;
        base::time_point lost_at_;
    };

    struct entered_group
    {
        group_instance group_;
        base::time_point entered_at_;
    };

    static bool is_idle(const entry& e);
    entry& entry_of(const dispatch_query& question);
    suspect_record merged_record(const entry& e) const;
    bool feed_fresh(clock_reading now) const;
    bool feed_settled(clock_reading now) const;
    bool overdue(const trial& t, clock_reading now) const;
    bool is_lost(const group_instance& group) const;
    bool is_recorded_lost(const group_instance& group) const;
    bool is_held(const lost_group& lost, clock_reading now) const;
    bool is_entering(const group_instance& group, clock_reading now) const;
    std::set<base::group_id>
    held_groups(const base::deployment_id& deployment, clock_reading now) const;
    std::set<base::group_id>
    barred_groups(const dispatch_query& question, clock_reading now) const;
    std::vector<base::group_id>
    ranking(const dispatch_query& question, clock_reading now) const;
    std::vector<group_instance>
    confine(const dispatch_query& question, clock_reading now) const;
    bool group_on_trial(
        const base::group_id& group,
        const suspect_fingerprint& except,
        platform::version before,
        clock_reading now) const;
    std::optional<group_instance>
    choose_trial_group(const entry& e, clock_reading now) const;
    void ask_free(const dispatch_query& question, clock_reading now);
    void ask_trial(entry& e, const dispatch_query& question, clock_reading now);
    void refuse(const base::request_id& request, quarantine_refusal reason);
    void give_up_trial(entry& e, quarantine_refusal reason);
    void check_trial(entry& e, clock_reading now);
    void
    replace_overdue_trial(entry& e, suspect_record& target, clock_reading now);
    suspect_record wanted_record(entry& e, clock_reading now);
    void retry_later(entry& e, clock_reading now);
    void clean_up(clock_reading now);
    void reconcile(entry& e, clock_reading now);
    void write(entry& e, suspect_record target);
    void erase(entry& e);
    void read(entry& e);
    void settle_written(entry& e, platform::version version, clock_reading now);
    void learn_from_feed(clock_reading now);
    void reconcile_all(clock_reading now);
    void remember_harmless(const suspect_fingerprint& fingerprint);
    store_call_id next_call();
    commands take_commands();

    base::daemon_id self_;
    std::string token_prefix_;
    quarantine_timing timing_;
    suspect_feed feed_;
    bool feed_started_ = false;
    base::time_point feed_contact_;
    base::time_point fresh_since_;
    std::map<suspect_fingerprint, entry> entries_;
    std::map<base::request_id, flight> flights_;
    std::map<store_call_id, suspect_fingerprint> calls_;
    std::vector<lost_group> lost_;
    std::vector<entered_group> entered_;
    std::unordered_set<suspect_fingerprint> harmless_;
    std::uint64_t last_call_ = 0;
    std::uint64_t last_token_ = 0;
    commands commands_;
};

} // namespace monsoondock::quarantine
