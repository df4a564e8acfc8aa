#pragma once

#include "peer_message.hpp"

#include <monsoondock/membership/endpoint.hpp>
#include <monsoondock/paths/host_check.hpp>
#include <monsoondock/paths/link_table.hpp>
#include <monsoondock/relay/proxy_callbacks.hpp>
#include <monsoondock/routing/gcra.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>

namespace monsoondock::entry::pvt {

struct control_plane;


/// Connections a second that a daemon opens to answer questions of others, and
/// how many of them at once. Beyond that it does not answer; the leader's
/// questions are always answered.
inline constexpr double answer_probes_per_second = 40;
inline constexpr std::chrono::milliseconds answer_probe_burst{1200};


/// Checks a second for which a daemon asks others while links are known to be
/// cut, and how many of them at once. Beyond that it takes a link that fails
/// for cut without asking.
inline constexpr double asking_checks_per_second = 10;
inline constexpr std::chrono::milliseconds asking_check_burst{2000};


/// Suspicions a second that a daemon reports to all before it has checked them,
/// and how many of them at once.
inline constexpr double unchecked_reports_per_second = 2;
inline constexpr std::chrono::milliseconds unchecked_report_burst{1500};


/// Connection attempt to a host. Several parts of the daemon may wait for its
/// end.
struct host_probe
{
    explicit host_probe(boost::asio::io_context& context) : ended_(context)
    {
        ended_.expires_at(boost::asio::steady_timer::time_point::max());
    }

    bool reached_ = false;
    /// Cancelled at the end of the attempt.
    boost::asio::steady_timer ended_;
};


/// Check of a host and of the link to it. Several parts of the daemon may wait
/// for its end.
struct link_check
{
    explicit link_check(boost::asio::io_context& context) : ended_(context)
    {
        ended_.expires_at(boost::asio::steady_timer::time_point::max());
    }

    std::uint64_t number_ = 0;
    base::time_point began_;
    paths::host_check evidence_;
    /// Peers whose answers are awaited.
    std::set<membership::endpoint> awaited_;
    paths::conclusion conclusion_ = paths::conclusion::pending;
    base::time_point ended_at_;
    /// Wait for the leader's verdict on the host; null when there is none.
    boost::asio::steady_timer* verdict_wait_ = nullptr;
    /// Cancelled at the end of the check.
    boost::asio::steady_timer ended_;
};


/// Links of this daemon to hosts.
struct link_state
{
    paths::link_table table_;
    /// Latest check of each host.
    std::map<base::host_id, std::shared_ptr<link_check>> checks_;
    std::uint64_t next_number_ = 1;
    /// Connections opened to find out whether hosts accept any.
    std::uint64_t probes_ = 0;
    /// Attempts that have not ended.
    std::map<base::host_id, std::shared_ptr<host_probe>> probes_under_way_;
    /// When other hosts were last probed for comparison.
    base::time_point compared_at_;
    routing::gcra answers_{answer_probes_per_second, answer_probe_burst};
    routing::gcra asking_checks_{asking_checks_per_second, asking_check_burst};
    routing::gcra unchecked_reports_{
        unchecked_reports_per_second, unchecked_report_burst};
    /// Hosts that the traffic thread does not use because links are cut.
    std::set<base::host_id> unusable_;
    /// True while the links to nearly all hosts are cut.
    bool cut_off_ = false;
    base::time_point cut_off_since_;
};


/// Finds out whether a host accepts connections, and if it accepts none of this
/// daemon, whether it accepts those of others. Takes up to about 0.6 s.
boost::asio::awaitable<paths::conclusion>
check_link(control_plane& c, base::host_id host);


/// Handles the report of the traffic thread that an upstream does not respond:
/// has the leader check its group, and tells the peers. If no other upstream
/// responds either, they are told only once it is shown that the links of this
/// daemon are not at fault; if one did but the link to this one is cut, they
/// are told that, too.
boost::asio::awaitable<void>
handle_unhealthy(control_plane& c, relay::unhealthy_report report);


/// Finds out whether responses were lost at a host because the link to it was
/// cut, and tells the traffic thread.
boost::asio::awaitable<void>
handle_lost_connection(control_plane& c, base::host_id host);


/// Handles the news that a peer has reached a host: if this daemon cannot, its
/// link is cut.
void handle_reached_host(control_plane& c, const base::host_id& host);


/// Handles the verdict of the leader that a host accepts no connections.
void handle_unreachable_host(control_plane& c, const base::host_id& host);


/// Answers a peer that cannot connect to a host.
boost::asio::awaitable<void> answer_host_query(
    control_plane& c, host_query_message m, membership::endpoint sender);


/// Records the answer of a peer.
void handle_finding(
    control_plane& c,
    const host_finding_message& m,
    const membership::endpoint& sender);


/// Tests links while some are cut, so that their end is noticed, and publishes
/// the state of the links. Never returns.
boost::asio::awaitable<void> run_link_tests(control_plane& c);

} // namespace monsoondock::entry::pvt
