#include "control_plane.hpp"
#include "host_removal.hpp"
#include "peer_topology.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/retry_delay.hpp>

#include <set>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds host_watch_timeout{20000};
constexpr std::chrono::milliseconds follower_poll_period{150};
// Daemons of a large cluster that watch the hosts while there is no leader to
// follow. They are the first to take over leadership.
constexpr std::size_t watchers_without_leader = 2;
constexpr base::retry_bounds store_retry{150ms, 600ms};
// Pause before the next watch call, so that a burst of changes costs one call.
// The longer pause of a daemon that does not lead only delays its knowledge of
// opened and closed groups; lost groups show up in traffic.
constexpr std::chrono::milliseconds leader_batch_pause{50};
constexpr std::chrono::milliseconds batch_pause{200};
// Hosts renew their entries within about two seconds after the store recovers.
constexpr std::chrono::milliseconds reappearance_grace{2500};
// Entries do not expire in an outage shorter than this.
constexpr std::chrono::milliseconds min_outage{1000};
// Limit on the changes in one datagram that announces them, so that it fits an
// Ethernet frame, and on those that are pushed at once.
constexpr std::size_t max_datagram_payload = 1200;
constexpr std::size_t max_pushed_bytes = 24000;


std::size_t payload_bytes(const platform::change& c)
{
    return c.object_.key_.size() + c.object_.value_.size();
}


std::size_t payload_bytes(const std::vector<platform::change>& changes)
{
    std::size_t sum = 0;
    for (const platform::change& c : changes)
        sum += payload_bytes(c);
    return sum;
}


std::string host_id_from_key(const control_plane& c, const std::string& key)
{
    return key.substr(c.adapter_.hosts_prefix_.size());
}


void log_host(const fleet::host_info& h, const char* event)
{
    base::event_line line(event);
    line.field("host", h.id_)
        .field("deployment", h.deployment_)
        .field("draining", h.draining_ ? "yes" : "no")
        .field("born", h.process_start_ms_);
    if (h.role_)
        line.field("group", h.role_->key_.name_)
            .field("rank", h.role_->rank_)
            .field("phase", fleet::to_string(h.role_->phase_));
}


// Makes a change available to the peers that follow this daemon.
void record_change(control_plane& c, platform::change change)
{
    c.hosts_.change_log_.add(std::move(change));
}


// Records until when a host is cold, from an entry that it has just written.
// Returns true when it is cold.
bool record_cold_time(control_plane& c, const fleet::host_info& host)
{
    if (host.cold_time_.count() == 0) {
        c.hosts_.cold_until_.erase(host.id_);
        return false;
    }
    c.hosts_.cold_until_[host.id_] = base::boot_clock::now() + host.cold_time_;
    return true;
}


void apply_entry(control_plane& c, const platform::object& o)
{
    const std::string id = host_id_from_key(c, o.key_);
    auto& entry = c.hosts_.entries_[{id}];
    if (o.version_ < entry.version_)
        return;
    const bool is_written = o.version_ != entry.version_;
    entry = o;
    c.hosts_.older_entries_.erase({id});
    auto parsed = c.adapter_.parse_host_(id, o.value_);
    if (!base::ok(parsed)) {
        base::event_line("host_entry_unreadable", base::severity::warning)
            .field("host", id)
            .field("reason", base::to_string(base::error(parsed)));
        c.hosts_.hosts_.erase({id});
        record_change(c, {o, false});
        return;
    }
    fleet::host_info host = base::value(std::move(parsed));
    if (host.draining_)
        c.hosts_.leaving_.add(host, base::boot_clock::now());
    else
        host.draining_ = c.hosts_.leaving_.contains(host);
    c.hosts_.pending_removals_.erase(host.id_);
    c.hosts_.suspended_.erase(host.id_);
    // A host that has become cold again writes the same entry.
    const bool is_cold_again = is_written && record_cold_time(c, host);
    auto& known = c.hosts_.hosts_[host.id_];
    if (known == host && !is_cold_again)
        return;
    record_change(c, {o, false});
    if (known.process_start_ms_ != host.process_start_ms_)
        c.reachability_.erase(host.id_);
    known = std::move(host);
    if (c.leader_.leading_ || known.draining_)
        log_host(known, "host_changed");
}


void remove_host(control_plane& c, const base::host_id& id, const char* reason)
{
    const auto entry = c.hosts_.entries_.find(id);
    if (entry == c.hosts_.entries_.end())
        return;
    record_change(c, {{entry->second.key_, entry->second.version_, {}}, true});
    base::event_line("host_gone").field("host", id).field("reason", reason);
    c.hosts_.hosts_.erase(id);
    c.hosts_.cold_until_.erase(id);
    c.hosts_.entries_.erase(entry);
    c.hosts_.pending_removals_.erase(id);
    c.hosts_.older_entries_.erase(id);
}


// Returns true for an entry of a restored store whose host has not written it
// again, as far as can be told: versions are assigned again too.
bool is_older_copy(const control_plane& c, const platform::object& o)
{
    const auto known = c.hosts_.entries_.find({host_id_from_key(c, o.key_)});
    return known != c.hosts_.entries_.end() &&
           known->second.version_.era_ < o.version_.era_ &&
           known->second.version_.value_ > o.version_.value_;
}


// Starts the grace period in which hosts write their entries again, when the
// store has been restored since the latest list.
void check_era(control_plane& c)
{
    const std::uint64_t era = c.store_.era();
    const std::uint64_t before = std::exchange(c.hosts_.listed_era_, era);
    if (before == era || before == 0)
        return;
    c.hosts_.removal_grace_until_ =
        base::boot_clock::now() + reappearance_grace;
    base::event_line("store_restored", base::severity::warning)
        .field("daemon", c.config_.daemon_)
        .field("era", era)
        .field("era_before", before);
}


bool is_unreachable(const control_plane& c, const base::host_id& id)
{
    const auto found = c.reachability_.find(id);
    return found != c.reachability_.end() &&
           found->second.unreachable_until_ > base::boot_clock::now();
}


std::chrono::milliseconds
lapse_grace(const control_plane& c, const fleet::host_info& h)
{
    return is_unreachable(c, h.id_) ? std::chrono::milliseconds(0)
                                    : removal_delay(h, c.config_.drain_time_);
}


// Returns the time until which a host whose entry has just been removed is
// kept.
base::time_point keep_until(const control_plane& c, const fleet::host_info& h)
{
    return std::max(
        c.hosts_.removal_grace_until_,
        base::boot_clock::now() + lapse_grace(c, h));
}


// Returns true when the group of a host that is removed now is to be left as it
// is for some time. After an outage of the store, a host that is still missing
// has gone.
bool keeps_group(const control_plane& c, const fleet::host_info& h)
{
    return base::boot_clock::now() >
               c.hosts_.removal_grace_until_ + suspension_time &&
           lapse_grace(c, h).count() > 0;
}


void handle_removal(
    control_plane& c, const base::host_id& id, base::time_point until)
{
    const auto found = c.hosts_.hosts_.find(id);
    // Entries of draining hosts do not reappear.
    if (base::boot_clock::now() < until && found != c.hosts_.hosts_.end() &&
        !found->second.draining_) {
        if (c.hosts_.pending_removals_.try_emplace(id, until).second)
            base::event_line("host_entry_lapsed")
                .field("host", id)
                .field("kept", until - base::boot_clock::now());
        return;
    }
    remove_host(c, id, "entry_removed");
}


// The entry was removed at an unknown time.
void handle_missing(control_plane& c, const base::host_id& id)
{
    handle_removal(c, id, c.hosts_.removal_grace_until_);
}


void handle_removal_event(control_plane& c, const base::host_id& id)
{
    const auto found = c.hosts_.hosts_.find(id);
    if (found == c.hosts_.hosts_.end())
        remove_host(c, id, "entry_removed");
    else
        handle_removal(c, id, keep_until(c, found->second));
}

// Applies the entries that their hosts have not written again in time.
void apply_older_entries(control_plane& c)
{
    if (base::boot_clock::now() < c.hosts_.removal_grace_until_ ||
        c.hosts_.older_entries_.empty())
        return;
    const host_entries entries = std::exchange(c.hosts_.older_entries_, {});
    for (const auto& [id, entry] : entries)
        apply_entry(c, entry);
    publish_host_changes(c);
}

} // namespace

void expire_pending_removals(control_plane& c)
{
    const base::time_point now = base::boot_clock::now();
    std::vector<base::host_id> expired;
    for (const auto& [id, until] : c.hosts_.pending_removals_) {
        if (now >= until)
            expired.push_back(id);
    }
    std::erase_if(c.hosts_.suspended_, [now](const auto& entry) {
        return now >= entry.second.until_;
    });
    c.hosts_.leaving_.prune(now);
    apply_older_entries(c);
    for (const base::host_id& id : expired) {
        const auto found = c.hosts_.hosts_.find(id);
        if (found != c.hosts_.hosts_.end() && keeps_group(c, found->second))
            c.hosts_.suspended_[id] = {found->second, now + suspension_time};
        remove_host(c, id, "entry_not_restored");
    }
    if (!expired.empty())
        publish_host_changes(c);
}

namespace {

// Removes the known hosts in scope that are not present.
template <class Predicate>
void remove_missing(
    control_plane& c,
    const std::set<base::host_id>& present,
    const Predicate& in_scope)
{
    std::vector<base::host_id> missing;
    for (const auto& [id, entry] : c.hosts_.entries_) {
        if (in_scope(id) && !present.contains(id))
            missing.push_back(id);
    }
    for (const base::host_id& id : missing)
        handle_missing(c, id);
    if (!c.hosts_.loaded_) {
        c.hosts_.loaded_ = true;
        publish_status(c);
    }
}


// Sends the changes that have not been announced yet, in as many datagrams as
// they need. Followers fetch them if there are too many.
void announce_changes(control_plane& c)
{
    const std::uint64_t from = std::exchange(
        c.hosts_.announced_sequence_, c.hosts_.change_log_.sequence());
    const auto changes = c.hosts_.change_log_.after(from);
    if (!changes || payload_bytes(*changes) > max_pushed_bytes) {
        send_to_followers(c, {c.leader_.term_, own_position(c), {}});
        return;
    }
    host_changes_message m{c.leader_.term_, own_position(c), {}};
    m.position_.sequence_ = from;
    std::size_t bytes = 0;
    for (const platform::change& change : *changes) {
        const std::size_t size = payload_bytes(change);
        if (bytes > 0 && bytes + size > max_datagram_payload) {
            send_to_followers(c, m);
            m.changes_.clear();
            bytes = 0;
        }
        m.changes_.push_back(change);
        ++m.position_.sequence_;
        bytes += size;
    }
    if (!m.changes_.empty())
        send_to_followers(c, m);
}

} // namespace

void publish_host_changes(control_plane& c)
{
    if (c.leader_.leading_ || is_relaying(c))
        announce_changes(c);
    publish_view(c);
    c.placement_timer_.cancel();
}

namespace {

// Starts the grace period if calls of this daemon failed since it last knew the
// hosts, from the store or from the leader.
void begin_reappearance_grace(control_plane& c, base::time_point last_contact)
{
    const base::time_point now = base::boot_clock::now();
    if (c.hosts_.loaded_ && c.store_failed_at_ > last_contact &&
        now - last_contact > min_outage)
        c.hosts_.removal_grace_until_ = now + reappearance_grace;
}


// Applies all host entries. Returns the version to watch from.
asio::awaitable<std::optional<platform::version>> list_hosts(control_plane& c)
{
    const auto listed = co_await c.store_.list(c.adapter_.hosts_prefix_);
    record_store_result(c, base::ok(listed));
    if (!base::ok(listed))
        co_return std::nullopt;
    begin_reappearance_grace(
        c, std::max(c.hosts_.read_at_, c.leader_.leader_store_contact_at_));
    c.hosts_.read_at_ = base::boot_clock::now();
    check_era(c);
    apply_host_listing(c, base::value(listed));
    co_return base::value(listed).version_;
}


asio::awaitable<void> watch_hosts(control_plane& c, platform::version from)
{
    for (;;) {
        const auto batch = co_await c.store_.watch(
            c.adapter_.hosts_prefix_, from, host_watch_timeout);
        record_store_result(c, base::ok(batch));
        if (!base::ok(batch))
            co_return;
        for (const platform::change& change : base::value(batch).changes_) {
            if (change.deleted_)
                handle_removal_event(
                    c, {host_id_from_key(c, change.object_.key_)});
            else
                apply_entry(c, change.object_);
        }
        c.hosts_.read_at_ = base::boot_clock::now();
        from = base::value(batch).next_;
        c.hosts_.seen_version_ = std::max(c.hosts_.seen_version_, from);
        if (!base::value(batch).changes_.empty())
            publish_host_changes(c);
        if (!watches_hosts(c))
            co_return;
        co_await sleep_for(
            c, c.leader_.leading_ ? leader_batch_pause : batch_pause);
    }
}

} // namespace

void apply_host_listing(control_plane& c, const platform::listing& list)
{
    // A watch may have delivered later changes in the meantime.
    if (list.version_ < c.hosts_.seen_version_)
        return;
    c.hosts_.seen_version_ = list.version_;
    const bool in_grace =
        base::boot_clock::now() < c.hosts_.removal_grace_until_;
    std::set<base::host_id> present;
    for (const platform::object& o : list.objects_) {
        const base::host_id id{host_id_from_key(c, o.key_)};
        present.insert(id);
        if (in_grace && is_older_copy(c, o))
            c.hosts_.older_entries_[id] = o;
        else
            apply_entry(c, o);
    }
    remove_missing(c, present, [](const base::host_id&) { return true; });
    publish_host_changes(c);
}


void apply_sync_response(control_plane& c, const host_sync_response& response)
{
    std::set<base::host_id> present;
    for (const platform::change& change : response.changes_) {
        const base::host_id id{host_id_from_key(c, change.object_.key_)};
        if (change.deleted_) {
            remove_host(c, id, "removed_by_peer");
        } else {
            present.insert(id);
            apply_entry(c, change.object_);
        }
    }
    const std::set<std::size_t> complete(
        response.complete_buckets_.begin(), response.complete_buckets_.end());
    remove_missing(c, present, [&complete](const base::host_id& id) {
        return complete.contains(bucket_of(id));
    });
    if (!response.changes_.empty() || !complete.empty())
        publish_host_changes(c);
}


asio::awaitable<void> relist_hosts(control_plane& c)
{
    co_await list_hosts(c);
}


bool shows_missed_changes(const control_plane& c, const platform::listing& list)
{
    if (list.version_ < c.hosts_.seen_version_)
        return false;
    std::size_t listed = 0;
    for (const platform::object& o : list.objects_) {
        const base::host_id id{host_id_from_key(c, o.key_)};
        ++listed;
        const auto older = c.hosts_.older_entries_.find(id);
        if (older != c.hosts_.older_entries_.end() &&
            older->second.version_ == o.version_)
            continue;
        const auto known = c.hosts_.entries_.find(id);
        if (known == c.hosts_.entries_.end() ||
            known->second.version_ < o.version_)
            return true;
    }
    return listed < c.hosts_.entries_.size();
}


host_log_position own_position(const control_plane& c)
{
    const auto& self = c.node_.self();
    return {
        self.id_.value_ + "." + std::to_string(c.run_id_),
        c.hosts_.change_log_.sequence()};
}


bool watches_hosts(const control_plane& c)
{
    if (c.leader_.leading_ || !c.hosts_.loaded_)
        return true;
    if (!has_settled(c) || follows_leader(c))
        return false;
    const auto& members = c.node_.members();
    return is_small_cluster(members) ||
           precedence_rank(members, c.node_.self()) < watchers_without_leader;
}


asio::awaitable<void> run_host_watch(control_plane& c)
{
    unsigned failures = 0;
    for (;;) {
        if (!watches_hosts(c)) {
            co_await sleep_for(c, follower_poll_period);
            continue;
        }
        const auto from = co_await list_hosts(c);
        failures = from ? 0 : failures + 1;
        if (from && watches_hosts(c))
            co_await watch_hosts(c, *from);
        co_await sleep_for(
            c, base::retry_delay(failures, store_retry, uniform_random(c)));
    }
}

} // namespace monsoondock::entry::pvt
