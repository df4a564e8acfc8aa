#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/membership/member.hpp>
#include <monsoondock/membership/node_config.hpp>
#include <monsoondock/membership/node_counters.hpp>
#include <monsoondock/membership/node_output.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace monsoondock::membership {

namespace pvt {
struct node_state;
}

/// One daemon's side of the membership protocol: SWIM with suspicion,
/// incarnations, piggybacked updates and a periodic table synchronization
/// (anti-entropy). A state machine without clock, sockets or threads: each step
/// takes the current time and returns the datagrams to send and the events to
/// report. Call tick about every 100 ms.
class node
{
public:
    /// self is the record to disseminate; its incarnation must be higher than
    /// any that an earlier run of the daemon used. random_seed makes all random
    /// choices reproducible.
    node(
        node_config config,
        member_record self,
        std::vector<endpoint> seeds,
        std::uint64_t random_seed);

    node(node&&) noexcept;
    node& operator=(node&&) noexcept;
    ~node();


    /// Processes one datagram from a peer. A malformed datagram is counted and
    /// otherwise ignored.
    node_output handle(const datagram& received, base::time_point now);


    /// Performs the periodic work that is due: probes, expiry of suspicions and
    /// table synchronization.
    node_output tick(base::time_point now);


    /// Publishes a new status of this daemon. A changed settings revision or
    /// entry mode is published at once, a changed load alone at most once per
    /// node_config::load_period_.
    node_output set_status(member_status status, base::time_point now);


    /// Sends the status of this daemon to the given peers, beside the spread of
    /// what set_status has published.
    node_output
    notify(const std::vector<endpoint>& peers, base::time_point now);


    /// Announces a graceful shutdown. The node continues to answer probes.
    node_output leave(base::time_point now);


    /// Announces that the process is about to exit. No further step may be
    /// called.
    node_output depart(base::time_point now);


    /// Replaces the peer addresses through which the node joins and rejoins.
    void set_seeds(std::vector<endpoint> seeds);


    /// Returns the record of this daemon.
    const member_record& self() const noexcept;


    /// Returns all other known daemons, including dead ones.
    const member_table& members() const noexcept;


    /// Returns the highest settings revision that any daemon has reported.
    std::uint64_t highest_revision() const noexcept;


    /// Returns the totals for metrics.
    const node_counters& counters() const noexcept;

private:
    std::unique_ptr<pvt::node_state> state_;
};

} // namespace monsoondock::membership
