#pragma once

#include "message.hpp"
#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Sends body to the member target, with its own record when that is not
/// alive here, waiting updates and status rows as far as they fit.
void send(step& s, const member_record& target, message_body body);


/// Sends body to an address, which may belong to a daemon not known yet.
/// first goes out before waiting updates; what does not fit is left out.
void send_to(
    step& s,
    const endpoint& to,
    message_body body,
    const std::vector<member_record>& first);


/// Sends waiting updates to a few members at once when a change is urgent
/// and the last such spread is long enough ago.
void spread_urgent(step& s);

} // namespace monsoondock::membership::pvt
