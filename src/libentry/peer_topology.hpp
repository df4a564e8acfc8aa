#pragma once

#include <monsoondock/membership/member.hpp>

#include <cstddef>
#include <vector>

namespace monsoondock::entry::pvt {

/// Number of daemons up to which each daemon sends to all others directly.
/// With more, messages between data centres go through relays, so that the
/// number of messages of one daemon does not grow with the number of data
/// centres.
inline constexpr std::size_t max_direct_peers = 16;

/// Number of daemons of each other data centre that a message is sent to and
/// that forward it there. The second one covers the loss of the first until
/// membership detects it.
inline constexpr std::size_t relays_per_data_centre = 2;


/// Destinations of a message to all other daemons.
struct message_route
{
    std::vector<membership::endpoint> direct_;
    /// Daemons of other data centres that forward the message to the other
    /// daemons of theirs.
    std::vector<membership::endpoint> relays_;
};


/// Returns true when daemon a takes on leadership and relaying before daemon b:
/// daemons with more processor capacity come first, and on a tie the one whose
/// name sorts first.
bool takes_precedence(
    const membership::member_record& a, const membership::member_record& b);


/// Returns the number of live daemons that take precedence over self.
std::size_t precedence_rank(
    const membership::member_table& members,
    const membership::member_record& self);


/// Same among the daemons of self's data centre.
std::size_t data_centre_rank(
    const membership::member_table& members,
    const membership::member_record& self);


/// Returns the number of live daemons that are to lead before self: those that
/// take precedence over it, but daemons without links to the upstreams come
/// last.
std::size_t leadership_rank(
    const membership::member_table& members,
    const membership::member_record& self);


/// Returns true when there are so few daemons, including self, that all of them
/// exchange messages directly.
bool is_small_cluster(const membership::member_table& members);


/// Returns where to send a message that is meant for all daemons that are not
/// dead.
message_route route_to_all(
    const membership::member_table& members,
    const membership::member_record& self);


/// Returns the daemons of self's data centre that are not dead; in a small
/// cluster those of all data centres.
std::vector<membership::endpoint> nearby_peers(
    const membership::member_table& members,
    const membership::member_record& self);


/// Returns the first of each data centre's live daemons by precedence, self's
/// data centre included.
std::vector<membership::member_record> first_of_each_data_centre(
    const membership::member_table& members,
    const membership::member_record& self);


/// Returns the first count live peers by precedence.
std::vector<membership::member_record>
first_by_precedence(const membership::member_table& members, std::size_t count);

} // namespace monsoondock::entry::pvt
