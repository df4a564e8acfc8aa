#pragma once

#include "message.hpp"
#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Merges a record received from a peer, about this node or another one.
void merge_record(step& s, const member_record& received);


/// Applies a status row if it is newer than the known status.
void merge_row(step& s, const status_row& row);


/// Merges the sender header of a datagram. Returns true when the full record of
/// the sender has to be requested.
bool merge_sender(step& s, const sender_header& sender, const endpoint& from);


/// Sets a state that this node detected itself, such as after a failed probe,
/// and queues the update.
void change_state(step& s, member& other, member_state next);


/// Raises the highest known settings revision and reports which endpoint it
/// came from.
void record_revision(step& s, std::uint64_t revision, const endpoint& from);

} // namespace monsoondock::membership::pvt
