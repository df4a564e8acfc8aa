#pragma once

#include <monsoondock/membership/node.hpp>
#include <monsoondock/peer/peer_counters.hpp>
#include <monsoondock/traffic/entry_host_row.hpp>

#include <string>
#include <vector>

namespace monsoondock::daemon {

/// Returns the entry hosts that take new callers, the own daemon included
/// unless it drains: members that are alive and open.
std::vector<traffic::entry_host_row>
open_entry_hosts(const membership::node& node);


/// Returns the JSON text of the page "members": the own record and those of
/// all members known, with the totals of the node, of the sockets and of what
/// was dropped, by reason.
std::string
members_page(const membership::node& node, const peer::peer_counters& sockets);

} // namespace monsoondock::daemon
