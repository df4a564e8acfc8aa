#pragma once

#include "message.hpp"
#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Advances the current probe by the time passed: requests indirect probes
/// after the direct timeout, fails the probe after the probe period, and starts
/// the next one when due.
void advance_probe(step& s);


/// Periodically probes a random dead member, so that both sides of a partition
/// find each other after it heals.
void probe_dead_member(step& s);


/// Answers a ping whose target is this node; others are ignored.
void handle_ping(step& s, const ping& received, const endpoint& from);


/// Completes the current probe, or forwards the answer to a relayed probe.
void handle_ack(step& s, const ack& received);


/// Probes a member on behalf of the sender.
void handle_ping_request(
    step& s, const ping_request& received, const endpoint& from);

} // namespace monsoondock::membership::pvt
