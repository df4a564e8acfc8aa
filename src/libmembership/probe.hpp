#pragma once

#include "message.hpp"
#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Starts a probe, asks others to help or gives it up, as time has passed.
void advance_probe(step& s);


/// Probes one dead member from time to time, so that both sides of a healed
/// partition find each other.
void probe_dead_member(step& s);


/// Answers a ping that is meant for this node.
void handle_ping(step& s, const ping& received, const endpoint& from);


/// Ends a probe or passes the answer on.
void handle_ack(step& s, const ack& received);


/// Probes a member on behalf of the sender.
void handle_ping_request(
    step& s, const ping_request& received, const endpoint& from);

} // namespace monsoondock::membership::pvt
