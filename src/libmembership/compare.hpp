#pragma once

#include "message.hpp"
#include "step.hpp"

namespace monsoondock::membership::pvt {

/// Joins through the seeds or compares tables with a member, when due.
void compare_tables(step& s);


/// Answers a comparison and decides when the next one is due.
void handle_sync(step& s, const sync& received, const endpoint& from);


/// Asks the daemon at an address for its record: each known one, and all
/// unknown ones together, at most once in each catch-up period.
void ask_for_record(step& s, const base::daemon_id& id, const endpoint& at);

} // namespace monsoondock::membership::pvt
