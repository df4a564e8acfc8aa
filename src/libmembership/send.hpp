#pragma once

#include "message.hpp"
#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Sends body to a member, with queued updates and status rows as far as they
/// fit. When this node regards the target as suspect or dead, its record goes
/// along, so that the target can refute.
void send(step& s, const member_record& target, message_body body);


/// Sends body to an address, which may belong to an unknown daemon.
/// priority_records take precedence over queued updates; records that do not
/// fit are left out.
void send_to(
    step& s,
    const endpoint& to,
    message_body body,
    const std::vector<member_record>& priority_records);


/// Sends queued updates to urgent_fanout_ random members when an update is
/// urgent and urgent_period_ has passed since the last such transmission.
void send_urgent_updates(step& s);

} // namespace monsoondock::membership::pvt
