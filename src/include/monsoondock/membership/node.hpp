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

/// One daemon's part in the membership protocol: SWIM with suspicion,
/// incarnations, piggybacked updates and a comparison of tables at a low rate.
/// A state machine without clock, sockets or threads: each step takes the
/// time and returns the datagrams to send. Call tick about every 100 ms.
class node
{
public:
    /// self is the record to spread; its incarnation must be higher than that
    /// of every earlier life of the daemon. random_seed fixes the choices.
    node(
        node_config config,
        member_record self,
        std::vector<endpoint> seeds,
        std::uint64_t random_seed);

    node(node&&) noexcept;
    node& operator=(node&&) noexcept;
    ~node();


    /// Takes one datagram from a peer. A malformed one is counted and has no
    /// effect.
    node_output handle(const datagram& received, base::time_point now);


    /// Takes the actions that are due: probes, suspicions, comparisons.
    node_output tick(base::time_point now);


    /// Spreads a new status of the own daemon. A settings revision or entry
    /// mode that changed is sent at once, a load at most every load period.
    node_output set_status(member_status status, base::time_point now);


    /// Announces a graceful shutdown; the node goes on answering.
    node_output leave(base::time_point now);


    /// Announces the exit of the process. Call no step afterwards.
    node_output depart(base::time_point now);


    /// Replaces the addresses through which the node joins and rejoins.
    void set_seeds(std::vector<endpoint> seeds);


    /// Returns the record of the own daemon.
    const member_record& self() const noexcept;


    /// Returns all other daemons known, dead ones included.
    const member_table& members() const noexcept;


    /// Returns the highest settings revision heard of.
    std::uint64_t highest_revision() const noexcept;


    /// Returns the totals for metrics.
    const node_counters& counters() const noexcept;

private:
    std::unique_ptr<pvt::node_state> state_;
};

} // namespace monsoondock::membership
