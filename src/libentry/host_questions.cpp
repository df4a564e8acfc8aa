#include "control_plane.hpp"
#include "host_probes.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

// A host that accepts a connection does so within this time in general.
constexpr std::chrono::milliseconds usual_connect_time{30};
constexpr std::chrono::milliseconds comparison_poll_period{20};


bool is_leader(const control_plane& c, const membership::endpoint& peer)
{
    const auto leader = c.node_.members().find(c.leader_.leader_);
    return leader != c.node_.members().end() &&
           leader->second.record_.peer_ == peer;
}


// Returns true when the question of a peer about a host is worth a connection.
bool may_look_into(
    control_plane& c,
    const base::host_id& host,
    const membership::endpoint& peer)
{
    return c.links_.probes_under_way_.contains(host) || is_leader(c, peer) ||
           c.links_.answers_.take(base::boot_clock::now()).count() == 0;
}


// Probes other hosts for comparison when an attempt takes longer than one that
// succeeds.
asio::awaitable<void> compare_unless_reached(
    control_plane& c,
    base::host_id host,
    base::time_point began,
    std::shared_ptr<const bool> reached)
{
    co_await sleep_for(c, usual_connect_time);
    if (!*reached)
        probe_others(c, host, began);
}

} // namespace

asio::awaitable<void> answer_host_query(
    control_plane& c, host_query_message m, membership::endpoint sender)
{
    const base::time_point began = base::boot_clock::now();
    if (!may_look_into(c, m.host_, sender))
        co_return;
    const auto reached_host = std::make_shared<bool>(false);
    asio::co_spawn(
        c.context_,
        compare_unless_reached(c, m.host_, began, reached_host),
        asio::detached);
    const bool reached = co_await probe(c, m.host_, probe_cause::asked);
    *reached_host = reached;
    paths::peer_finding finding = paths::peer_finding::reached;
    if (!reached) {
        // A refused connection leaves the probes of other hosts no time.
        while (!c.links_.table_.reached_other_since(m.host_, began) &&
               base::boot_clock::now() - began < probe_timeout)
            co_await sleep_for(c, comparison_poll_period);
        finding = c.links_.table_.reached_other_since(m.host_, began)
                      ? paths::peer_finding::not_reached
                      : paths::peer_finding::unknown;
    }
    send_to_peer(c, sender, host_finding_message{m.number_, finding});
}

} // namespace monsoondock::entry::pvt
