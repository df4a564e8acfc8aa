#pragma once

#include "evacuations.hpp"
#include "host_sync.hpp"
#include "leaving_hosts.hpp"
#include "link_checks.hpp"
#include "pace_exchange.hpp"
#include "peer_inbox.hpp"
#include "peer_message.hpp"

#include <monsoondock/entry/platform_adapter.hpp>
#include <monsoondock/fleet/host_table.hpp>
#include <monsoondock/membership/node.hpp>
#include <monsoondock/metrics/registry.hpp>
#include <monsoondock/placement/planner.hpp>
#include <monsoondock/platform/http_client.hpp>
#include <monsoondock/relay/reverse_proxy.hpp>
#include <monsoondock/settings/entry_config.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace monsoondock::entry::pvt {

/// Configuration that is in force in this daemon.
struct catalog_state
{
    std::shared_ptr<const catalog::catalog> catalog_;
    /// Text as stored in the platform's store; served to peers that can't
    /// reach the store.
    std::string text_;
    /// Era of the store in which the text was read; see platform::version.
    /// Tells two texts with the same version number apart.
    std::uint64_t era_ = 0;
    /// When this daemon learned that a peer has a newer one; unset when none is
    /// known to have one.
    std::optional<base::time_point> newer_known_at_;
};


/// Daemon whose log of host changes this daemon follows: the leader, or a relay
/// of the leader in the data centre of this daemon.
struct host_source
{
    membership::endpoint address_;
    /// Latest known end of its log.
    host_log_position position_;
    /// Arrival of its latest heartbeat.
    base::time_point heard_at_;
};


/// Upstream hosts as registered in the platform's store.
struct host_state
{
    fleet::host_table hosts_;
    /// Latest store entry of each host, used to ignore older versions.
    host_entries entries_;
    /// Store version up to which changes have been applied.
    platform::version seen_version_;
    /// Era of the store at the latest list; 0 before the first one.
    std::uint64_t listed_era_ = 0;
    /// Entries of a restored store that are older than what is known of their
    /// hosts. They are applied at the end of the grace period, unless the hosts
    /// have written them again.
    host_entries older_entries_;
    leaving_hosts leaving_;
    /// Until when the entry of a host says that it is cold; may have passed.
    std::map<base::host_id, base::time_point> cold_until_;
    /// True once a complete list of hosts has been received.
    bool loaded_ = false;
    /// Hosts whose entries disappeared but may reappear, with the time at which
    /// they are removed unless that happens.
    std::map<base::host_id, base::time_point> pending_removals_;
    /// Hosts that were removed after their entry lapsed. They get no requests,
    /// but their groups are not taken apart before this time, as their entries
    /// may still reappear.
    struct suspended_host
    {
        fleet::host_info info_;
        base::time_point until_;
    };
    std::map<base::host_id, suspended_host> suspended_;
    /// When this daemon last read entries from the store.
    base::time_point read_at_;
    /// Until this time a removed entry may merely have expired during a store
    /// outage, so its host is kept as a pending removal.
    base::time_point removal_grace_until_;
    /// Changes in the order in which this daemon applied them; served to peers
    /// that follow this daemon.
    host_change_log change_log_;
    /// Position in a peer's change log up to which changes have been applied.
    host_log_position applied_position_;
    /// Sequence number of the latest change that was announced to peers.
    std::uint64_t announced_sequence_ = 0;
    host_source source_;
    /// When this daemon last had all changes of its source.
    base::time_point caught_up_at_;
    /// When this daemon last tried to synchronize with a random peer because it
    /// had no source.
    base::time_point peer_polled_at_;
};


/// Leadership of the placement loop, as known to this daemon.
struct leader_state
{
    /// True while this daemon is the leader.
    bool leading_ = false;
    std::uint64_t term_ = 0;
    /// Store version of the leader record.
    platform::version record_version_;
    /// Exclusive upper bound of the epochs that the record reserves for this
    /// leader.
    std::uint64_t epoch_limit_ = 0;
    std::uint64_t next_epoch_ = 1;
    /// Start time of the latest successful write of the leader record.
    base::time_point confirmed_at_;
    /// Earliest time for orders; orders that a previous leader sent have ended
    /// by then.
    base::time_point orders_allowed_at_;
    /// Arrival of the latest heartbeat of another leader.
    base::time_point last_heartbeat_at_;
    /// When the leader last received a response from the store, according to
    /// its heartbeat.
    base::time_point leader_store_contact_at_;
    base::daemon_id leader_;
    /// Until this time this daemon relays the leader's heartbeats and host
    /// changes in its data centre.
    base::time_point relaying_until_;
    /// True when the leader has announced that it is stopping.
    bool resigned_ = false;
};


/// Reachability of an upstream host, from connection attempts and requests
/// rather than from the host's entry in the store.
struct host_reachability
{
    /// The host is treated as unreachable until this time.
    base::time_point unreachable_until_;
    base::time_point last_checked_at_;
};


/// Smoothed demand of callers per second, by the daemon that received it.
struct demand_rates
{
    struct daemon_rates
    {
        relay::demand_table per_second_;
        base::time_point reported_at_;
    };

    std::map<base::daemon_id, daemon_rates> daemons_;
};


/// Requests in progress at upstreams, as exchanged between daemons.
struct load_state
{
    /// Those that this daemon last reported.
    load_table reported_;
    base::time_point reported_at_;
    /// Reports that this daemon sums up while it is the relay of its data
    /// centre.
    load_exchange exchange_;
    /// True while daemons report to each other, false while they report to
    /// relays.
    bool direct_ = true;
};


/// Evidence of the pace of upstreams, as exchanged between daemons.
struct pace_exchange_state
{
    /// Evidence that this daemon sums up while it is the relay of its data
    /// centre.
    pace_exchange exchange_;
    base::time_point reported_at_;
    /// When an unusable report was last logged, and those not logged since.
    base::time_point unusable_logged_at_;
    std::uint64_t unusable_ = 0;
};


/// Parts of prompts under which upstreams crash, as exchanged between daemons.
struct part_state
{
    /// Latest knowledge of the traffic thread.
    crashes::part_report known_;
    /// Parts in the leader record that this daemon wrote last.
    std::vector<crashes::prompt_part> recorded_;
    /// When this daemon last tried to write the leader record because the parts
    /// have changed.
    base::time_point record_tried_at_;
};


/// State of the control plane: configuration, upstream hosts, membership,
/// leadership and placement. Owned by the control thread; no other thread may
/// access it.
struct control_plane
{
    control_plane(
        const settings::entry_config& config,
        const platform_adapter& adapter,
        metrics::registry& metrics);

    const settings::entry_config& config_;
    const platform_adapter& adapter_;
    metrics::registry& metrics_;
    boost::asio::io_context context_{1};
    /// Registered on construction, so that a signal during start-up does not
    /// terminate the process.
    boost::asio::signal_set signals_{context_, SIGTERM, SIGINT, SIGHUP};
    std::mt19937_64 random_;
    platform::http_client store_;
    boost::asio::ip::udp::socket peer_socket_;
    membership::node node_;
    std::unique_ptr<relay::reverse_proxy> proxy_;
    catalog_state catalog_;
    host_state hosts_;
    leader_state leader_;
    std::map<base::deployment_id, placement::planner> planners_;
    std::map<base::host_id, host_reachability> reachability_;
    link_state links_;
    demand_rates demand_;
    load_state loads_;
    pace_exchange_state paces_;
    part_state parts_;
    evacuation_state evacuations_;
    /// Messages of peers that are to be handled.
    peer_inbox inbox_;
    /// Messages of peers that have been handled.
    std::uint64_t handled_messages_ = 0;
    /// When this daemon last repeated what it knows to its peers.
    base::time_point state_exchanged_at_;
    base::time_point started_at_;
    /// Random number that identifies this run of the daemon, so that positions
    /// in its change log differ from those of an earlier run.
    std::uint64_t run_id_ = 0;
    /// When the store last responded to a call.
    base::time_point store_answered_at_;
    /// True when the latest call to the store failed.
    bool store_failed_ = false;
    /// When a call to the store last failed.
    base::time_point store_failed_at_;
    bool stopping_ = false;
    base::time_point stopping_since_;
    /// When the view of the traffic thread was last replaced, and whether a
    /// replacement is scheduled.
    base::time_point view_published_at_;
    bool view_scheduled_ = false;
    /// Period of the placement loop; cancelled to start the next step early.
    boost::asio::steady_timer placement_timer_;
    /// Period of the host synchronization; cancelled to start the next one
    /// early.
    boost::asio::steady_timer peer_sync_timer_;
};


/// Updates the demand rates from a report of this daemon or a peer.
void record_demand(control_plane& c, const demand_message& m);


/// Returns how many hosts the current demand keeps busy, by model of the
/// deployment. Models without reported demand are absent.
std::map<std::string, double>
needed_hosts(const control_plane& c, const catalog::deployment& d);


/// Returns true once this daemon has run long enough to know its peers, and
/// which of them have the tasks that few daemons carry out for all.
bool has_settled(const control_plane& c);


/// Returns the number of daemons that are alive, this one included.
unsigned live_daemons(const control_plane& c);


/// Returns a snapshot of the configuration and the usable upstreams for the
/// traffic thread.
relay::view_pointer make_view(const control_plane& c);


/// Publishes a snapshot of the configuration and the usable upstreams to the
/// traffic thread, at once or, shortly after the previous snapshot, together
/// with the changes that follow within a short period.
void publish_view(control_plane& c);


/// Publishes a snapshot when this daemon has run long enough to have shares in
/// the limits of cold hosts.
boost::asio::awaitable<void> publish_first_shares(control_plane& c);


/// Publishes the configuration version and readiness of this daemon to its
/// peers through membership.
void publish_status(control_plane& c);


/// Returns true when this daemon can serve callers.
bool is_ready(const control_plane& c);


/// Records whether a call to the store succeeded. Logs transitions.
void record_store_result(control_plane& c, bool answered);


/// Returns a uniformly distributed random number in [0, 1).
double uniform_random(control_plane& c);


/// Suspends the coroutine for a time.
boost::asio::awaitable<void>
sleep_for(control_plane& c, std::chrono::milliseconds time);


/// Puts a configuration into force. source is for the log: "store", "check" or
/// "peer"; era is that of the store in which the text was read. Returns false
/// when the text is invalid or not newer than the configuration in force. A
/// version number that is in force already is newer when another text with it
/// is in a store that was restored since.
bool apply_catalog(
    control_plane& c,
    const std::string& text,
    std::uint64_t era,
    std::string_view source);


/// Returns the rank of the configuration in force, by which daemons compare
/// theirs: the version, then the era. 0 when there is none.
std::uint64_t catalog_rank(const control_plane& c);


/// Lists the configuration in the store, and watches it there while this daemon
/// is one of the watchers of its data centre; the other daemons receive changes
/// from peers. Never returns.
boost::asio::awaitable<void> run_catalog_watch(control_plane& c);


/// Returns true while this daemon watches the configuration and the evacuations
/// in the store.
bool watches_catalog(const control_plane& c);


/// Fetches the configuration from a peer whenever membership shows that the
/// peer has a newer one, as happens while this daemon can't reach the store.
boost::asio::awaitable<void> run_catalog_peer_sync(control_plane& c);


/// Lists and watches the entries of upstream hosts in the store while
/// watches_hosts returns true. Never returns.
boost::asio::awaitable<void> run_host_watch(control_plane& c);


/// Returns true while this daemon takes host entries from the store: it leads,
/// has none yet, or is one of the few that watch while there is no leader.
bool watches_hosts(const control_plane& c);


/// Returns true while this daemon takes host entries from the leader or a
/// relay of it: a leader that recently reached the store is known, and hosts
/// have been loaded once.
bool follows_leader(const control_plane& c);


/// Synchronizes host entries from the leader or its relay while this daemon
/// follows it, and otherwise now and then from any live peer. Never returns.
boost::asio::awaitable<void> run_host_peer_sync(control_plane& c);


/// Records a heartbeat of a daemon whose change log this daemon may follow, and
/// the end of that log. Starts a synchronization if this daemon follows the
/// sender and is behind.
void update_host_source(
    control_plane& c,
    const membership::endpoint& sender,
    const host_log_position& position);


/// Applies changes that the followed daemon pushed, unless earlier ones are
/// missing; starts a synchronization in that case.
void apply_pushed_changes(
    control_plane& c,
    const host_changes_message& m,
    const membership::endpoint& sender);


/// Returns the end of this daemon's own change log.
host_log_position own_position(const control_plane& c);


/// Applies host changes received from a peer.
void apply_sync_response(control_plane& c, const host_sync_response& response);


/// Applies a complete list of the host entries in the store, unless it is
/// older than the state applied so far.
void apply_host_listing(control_plane& c, const platform::listing& list);


/// Removes the hosts whose entries have not reappeared in time. To be called
/// several times a second.
void expire_pending_removals(control_plane& c);


/// Announces applied host changes to the peers that follow this daemon, and to
/// the traffic thread and the planner.
void publish_host_changes(control_plane& c);


/// Lists the host entries in the store again, independently of the watch.
boost::asio::awaitable<void> relist_hosts(control_plane& c);


/// Returns true when a list contains changes that have not been applied, that
/// is, that the watch did not deliver.
bool shows_missed_changes(
    const control_plane& c, const platform::listing& list);


/// While this daemon leads, periodically lists the store and compares the
/// result with the applied state. If a watch missed changes, this daemon and
/// all peers that watch the store list the hosts again. Never returns.
boost::asio::awaitable<void> run_store_checks(control_plane& c);


/// Drives the membership protocol and handles datagrams of peers. Never
/// returns.
boost::asio::awaitable<void> run_peer_messaging(control_plane& c);


/// Sends the datagrams and handles the events that a call to the membership
/// node returned.
void apply_node_output(control_plane& c, const membership::node_output& out);


/// Sends a datagram to a peer. Failures are ignored, as datagrams may be lost
/// anyway.
void send_bytes(
    control_plane& c, const membership::endpoint& to, const std::string& bytes);


/// Sends a message to one peer.
void send_to_peer(
    control_plane& c, const membership::endpoint& to, const peer_message& m);


/// Sends a message to all peers that are not known to be dead, through relays
/// in a large cluster.
void broadcast(control_plane& c, const peer_message& m);


/// Sends a message to the peers of this data centre; in a small cluster to all
/// peers.
void send_nearby(control_plane& c, const peer_message& m);


/// Sends a heartbeat of this daemon as leader to all peers.
void broadcast_heartbeat(control_plane& c, leader_heartbeat m);


/// Sends host changes to the daemons that follow this one as leader or relay.
void send_to_followers(control_plane& c, const host_changes_message& m);


/// Returns true while this daemon relays the leader's host changes.
bool is_relaying(const control_plane& c);


/// Passes on what the traffic thread has to tell about parts of prompts, and
/// repeats what is known of them and of limits of upstreams for daemons that
/// have been started or were cut off. A daemon tells the relay of its data
/// centre, which tells all others.
void exchange_state(control_plane& c, const relay::traffic_stats& stats);


/// Returns the relay of this data centre: its first live daemon.
membership::member_record own_relay(const control_plane& c);


/// Returns the age that known loads of upstreams have at most, as long as no
/// report is lost.
std::chrono::milliseconds load_report_age(const control_plane& c);


/// Records requests in progress that a peer reported.
void handle_loads(control_plane& c, const load_message& m);
void handle_loads(control_plane& c, const data_centre_load_message& m);
void handle_loads(control_plane& c, const load_sum_message& m);


/// Reports evidence of this daemon on the pace of upstreams once a second and,
/// as the relay of its data centre, sends on the sums of many daemons. Does
/// nothing unless capacity is learned.
void report_paces(
    control_plane& c, const std::vector<hostpace::pace_report>& reports);


/// Records evidence of peers. Unusable reports are dropped and logged.
void handle_paces(control_plane& c, const host_pace_message& m);


/// Periodically reports requests in progress and demand to the daemons that use
/// them. Never returns.
boost::asio::awaitable<void> run_load_reports(control_plane& c);


/// Takes part in the election of the placement leader and sends heartbeats
/// while this daemon leads. Never returns.
boost::asio::awaitable<void> run_leadership(control_plane& c);


/// While no live peer is known, looks up the daemon that led last in the store
/// and joins through it. Never returns.
boost::asio::awaitable<void> run_discovery(control_plane& c);


/// Returns the peer addresses that the settings name.
std::vector<membership::endpoint>
configured_seeds(const settings::entry_config& config);


/// Gives up leadership so that another daemon takes it over.
void resign_leadership(control_plane& c);


/// Confirms that this daemon still leads by a conditional write of the leader
/// record; a recent successful write is enough. Returns false when
/// another daemon leads or the result of the write is unknown.
boost::asio::awaitable<bool> confirm_leadership(control_plane& c);


/// Returns an epoch that is higher than all previous ones.
std::uint64_t allocate_epoch(control_plane& c);


/// While this daemon leads, steps the planners of all deployments and sends
/// their orders to hosts. Never returns.
boost::asio::awaitable<void> run_placement(control_plane& c);


/// Excludes a host that refused or did not accept a connection from use for
/// some seconds.
void mark_host_unreachable(control_plane& c, const base::host_id& host);


/// Tells the peers that a host said, in a response to this daemon, that it is
/// leaving, and treats it as leaving.
void announce_leaving_host(control_plane& c, const base::host_id& id);


/// Treats a host as leaving until its process restarts, whatever its entry in
/// the store says.
void mark_host_leaving(control_plane& c, const host_leaving_message& m);


/// If this daemon leads, probes all hosts of the group whose head is
/// suspected to have failed.
void check_group(control_plane& c, const upstream_suspected_message& suspicion);


/// Opens the HTTP endpoints for readiness, directory, peers and metrics.
/// Throws boost::system::system_error when an address can't be bound.
void start_http_endpoints(control_plane& c);


/// Stops the daemon gracefully on the first SIGTERM or SIGINT. Further signals
/// are logged.
boost::asio::awaitable<void> run_signals(control_plane& c);

} // namespace monsoondock::entry::pvt
