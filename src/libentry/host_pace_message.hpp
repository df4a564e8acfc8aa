#pragma once

#include <monsoondock/hostpace/pace_report.hpp>
#include <monsoondock/wire/body_codec.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::entry::pvt {

/// Whose evidence a host_pace_message has.
enum class pace_scope : std::uint8_t
{
    /// That of the sender; sent to all peers in a small cluster, and otherwise
    /// to the relay of its data centre.
    daemon,
    /// That of all daemons of a data centre; sent by its relay to the relays of
    /// the others.
    data_centre,
    /// That of all daemons of the receiver's data centre, and of all others;
    /// sent by a relay to the daemons of its data centre.
    own_data_centre,
    other_data_centres,
    /// That of the sender, on upstreams that it has just found to be slow; sent
    /// to all peers.
    alert
};


/// Evidence of the pace of upstreams that differ from others.
struct host_pace_message
{
    pace_scope scope_ = pace_scope::daemon;
    /// Daemon or data centre that the evidence is of.
    std::string source_;
    std::vector<hostpace::pace_report> reports_;
};


/// Writes a message as part of a datagram.
void put(wire::body_writer& out, const host_pace_message& m);


/// Reads a message. Throws std::range_error when it is malformed.
void get(wire::body_reader& in, host_pace_message& m);

} // namespace monsoondock::entry::pvt
