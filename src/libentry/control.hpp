#pragma once

#include "host_exchange.hpp"
#include "peer_message.hpp"

#include <monsoondock/entry/platform_adapter.hpp>
#include <monsoondock/fleet/host_table.hpp>
#include <monsoondock/membership/node.hpp>
#include <monsoondock/metrics/registry.hpp>
#include <monsoondock/placement/planner.hpp>
#include <monsoondock/platform/http_client.hpp>
#include <monsoondock/relay/front.hpp>
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

/// The accepted configuration that this daemon has in force.
struct catalog_state
{
    std::shared_ptr<const catalog::catalog> catalog_;
    /// As the store has it, for peers that can't read the store.
    std::string text_;
};


/// Upstream hosts as the platform lists them.
struct host_state
{
    fleet::host_table hosts_;
    /// Each host's entry as the store has it; an older one is ignored.
    host_entries entries_;
    /// The store's version up to which changes were taken.
    platform::version seen_;
    bool known_ = false;
    /// Hosts whose entries vanished right after an outage of the store; they
    /// count as gone only when they do not come back by this time.
    std::map<base::host_id, base::time_point> lapsed_;
    /// Until this time a vanished entry may be one that lapsed in an outage.
    base::time_point lapse_until_;
    /// Changes as this daemon took them, for the peers that follow it.
    host_log log_;
    /// Position in the leader's log up to which changes were taken.
    feed_position followed_;
    /// Number of the latest own change that was announced.
    std::uint64_t announced_sequence_ = 0;
    /// Newest position in the leader's log that was heard of.
    feed_position announced_;
};


/// Who leads placement, as this daemon knows it.
struct leader_state
{
    bool leading_ = false;
    std::uint64_t term_ = 0;
    platform::version record_version_;
    /// Epochs below this one are reserved for this leader.
    std::uint64_t epochs_below_ = 0;
    std::uint64_t next_epoch_ = 1;
    /// When the record was last written, by the time the call was begun.
    base::time_point fenced_at_;
    /// No orders are sent before this time, so that those of an earlier
    /// leader have ended.
    base::time_point orders_from_;
    /// Last beat of another leader.
    base::time_point heard_at_;
    /// When the leader last heard the store, by its beats.
    base::time_point store_heard_at_;
    base::daemon_id leader_;
    /// The leader said that it stops.
    bool resigned_ = false;
};


/// What is known of an upstream host beside the list.
struct host_verdict
{
    /// The host counts as unreachable until this time.
    base::time_point unreachable_until_;
    base::time_point checked_at_;
    /// When the host last answered this daemon or a peer.
    base::time_point answered_at_;
};


/// Work a second that each daemon's callers ask for, smoothed.
struct work_rates
{
    struct daemon_rates
    {
        relay::work_table a_second_;
        base::time_point told_at_;
    };

    std::map<base::daemon_id, daemon_rates> daemons_;
};


/// State of the control thread; no other thread touches it.
struct control
{
    control(
        const settings::entry_config& config,
        const platform_adapter& adapter,
        metrics::registry& metrics);

    const settings::entry_config& config_;
    const platform_adapter& adapter_;
    metrics::registry& metrics_;
    boost::asio::io_context context_{1};
    /// Caught from the start, so that no stop ends the process halfway up.
    boost::asio::signal_set signals_{context_, SIGTERM, SIGINT, SIGHUP};
    std::mt19937_64 random_;
    platform::http_client store_;
    boost::asio::ip::udp::socket peer_socket_;
    membership::node node_;
    std::unique_ptr<relay::front> front_;
    catalog_state catalog_;
    host_state hosts_;
    leader_state leader_;
    std::map<base::deployment_id, placement::planner> planners_;
    std::map<base::host_id, host_verdict> verdicts_;
    work_rates work_;
    base::time_point started_at_;
    /// Number that tells this life of the daemon from others.
    std::uint64_t life_ = 0;
    /// When the store last answered a call.
    base::time_point store_answered_at_;
    bool store_failed_ = false;
    bool stopping_ = false;
    /// Wakes the placement loop before its period is over.
    boost::asio::steady_timer placement_wake_;
    /// Wakes the loop that follows the leader.
    boost::asio::steady_timer follow_wake_;
};


/// Takes what callers asked a daemon for.
void take_work(control& c, const work_message& m);


/// Returns the hosts that a deployment's models keep busy, by model; empty
/// when no work was measured.
std::map<std::string, double>
needed_hosts(const control& c, const catalog::deployment& d);


/// Returns the number of daemons that are alive, this one included.
unsigned live_daemons(const control& c);


/// Publishes what requests are decided from to the traffic thread.
void publish_view(control& c);


/// Tells membership what this daemon is ready for.
void publish_status(control& c);


/// Returns true when this daemon can serve callers.
bool is_ready(const control& c);


/// Notes that the store answered, or did not.
void note_store(control& c, bool answered);


/// Returns a number from 0 up to, but not including, 1.
double draw(control& c);


/// Waits for a time on the control thread.
boost::asio::awaitable<void>
sleep_for(control& c, std::chrono::milliseconds time);


/// Takes a configuration as the store or a peer has it. Returns false when
/// it can't be read or is not newer.
bool take_catalog(control& c, const std::string& text, std::string_view source);


/// Follows the configuration in the store until the process ends.
boost::asio::awaitable<void> run_catalog_feed(control& c);


/// Fetches the configuration from peers as long as some have a newer one than
/// this daemon, which then may not hear the store.
boost::asio::awaitable<void> run_catalog_catch_up(control& c);


/// Follows the entries of upstream hosts until the process ends.
boost::asio::awaitable<void> run_host_feed(control& c);


/// Returns true while this daemon takes the entries of upstream hosts from the
/// leader, which heard the store a moment ago, and needs no watch of its own.
bool follows_leader(const control& c);


/// While this daemon follows the leader, or does not reach the store, takes
/// the entries of upstream hosts from a peer.
boost::asio::awaitable<void> run_host_follow(control& c);


/// Takes the position of the leader's feed; fetches what is missing.
void note_feed(control& c, const feed_position& p);


/// Takes the changes that the leader sent along, if this daemon lacks no
/// earlier ones; fetches what is missing.
void take_feed(control& c, const feed_message& m);


/// Returns this daemon's position in its own log of changes.
feed_position own_position(const control& c);


/// Applies what a peer that this daemon follows told of entries.
void take_answer(control& c, const feed_answer& a);


/// Takes a list of all entries of upstream hosts, unless it is older than what
/// was taken before.
void take_hosts(control& c, const platform::listing& list);


/// Reads the entries of upstream hosts again, besides the watch.
boost::asio::awaitable<void> reread_hosts(control& c);


/// Returns true when a list holds changes that the watch has not told.
bool misses_changes(const control& c, const platform::listing& list);


/// While this daemon leads, compares what the watches told with the store, and
/// has all daemons read again when a watch has gone deaf.
boost::asio::awaitable<void> run_store_checks(control& c);


/// Takes part in membership and takes messages of peers.
boost::asio::awaitable<void> run_peers(control& c);


/// Sends the datagrams of a step of the membership node and takes its events.
void take_output(control& c, const membership::node_output& out);


/// Sends a message to all live peers.
void broadcast(control& c, const peer_message& m);


/// Tells peers at a fixed rate how many requests are in progress where.
boost::asio::awaitable<void> run_load_reports(control& c);


/// Elects the leader of placement and keeps it known.
boost::asio::awaitable<void> run_leadership(control& c);


/// Writes the leader's record unless that was done a moment ago. Returns
/// false when this daemon does not lead any more or can't tell.
boost::asio::awaitable<bool> fence(control& c);


/// Returns the next epoch.
std::uint64_t take_epoch(control& c);


/// While this daemon leads, has planners step and sends their orders.
boost::asio::awaitable<void> run_placement(control& c);


/// A host was found to accept no connection: leaves it out for a while.
void note_lost_host(control& c, const base::host_id& host);


/// Tries to reach a host for the leader, and tells when that succeeds.
void answer_reach(control& c, const reach_question& q);


/// Checks the hosts of a group whose head is doubted.
void check_group(control& c, const doubt_message& d);


/// Serves readiness, the directory, peers' requests and metrics.
void start_pages(control& c);


/// Stops the process on SIGTERM and SIGINT: gracefully at first, at once on a
/// second one.
boost::asio::awaitable<void> run_signals(control& c);

} // namespace monsoondock::entry::pvt
