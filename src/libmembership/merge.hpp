#pragma once

#include "message.hpp"
#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Takes a record that a peer sent, about this node or another one.
void merge_record(step& s, const member_record& heard);


/// Takes a status row.
void merge_row(step& s, const status_row& row);


/// Takes what a datagram tells about its sender. Returns true when the full
/// record of the sender has to be asked for.
bool merge_sender(step& s, const sender_header& sender, const endpoint& from);


/// Moves a member to a state that this node found out by itself.
void change_state(step& s, member& other, member_state next);


/// Notes a settings revision and where it was told.
void note_revision(step& s, std::uint64_t revision, const endpoint& from);

} // namespace monsoondock::membership::pvt
