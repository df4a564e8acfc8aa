#pragma once

#include <monsoondock/membership/node.hpp>
#include <monsoondock/peer/peer_counters.hpp>
#include <monsoondock/traffic/entry_host_row.hpp>

#include <string>
#include <vector>

namespace monsoondock::daemon {

/// Returns the entry hosts that accept new callers: all members, including the
/// own daemon, that are alive and not draining.
std::vector<traffic::entry_host_row>
open_entry_hosts(const membership::node& node);


/// Returns the JSON text of the admin page "members": the records of the own
/// daemon and all known members, the counters of the membership protocol and
/// the sockets, and the number of dropped datagrams by reason.
std::string
members_page(const membership::node& node, const peer::peer_counters& sockets);

} // namespace monsoondock::daemon
