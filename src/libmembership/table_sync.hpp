#pragma once

#include "message.hpp"
#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Contacts seeds and synchronizes the table with a random member, each when
/// due.
void sync_tables(step& s);


/// Answers a sync message with this node's records in the differing buckets. A
/// reply also reschedules the next synchronization, sooner when the tables
/// differ widely.
void handle_sync(step& s, const sync& received, const endpoint& from);


/// Requests the record of the daemon at an address. Rate limit: one request per
/// catch-up period for each known daemon, and one for all unknown daemons
/// together.
void request_record(step& s, const base::daemon_id& id, const endpoint& at);

} // namespace monsoondock::membership::pvt
