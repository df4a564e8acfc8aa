#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/entry/platform_adapter.hpp>
#include <monsoondock/settings/entry_config.hpp>

namespace monsoondock::entry {

/// Runs an entry daemon until it is stopped by a signal. The daemon accepts
/// callers' connections, relays their requests to upstream hosts and, together
/// with its peers, controls the replica groups of hosts. The first SIGTERM or
/// SIGINT stops it gracefully, the second one immediately; SIGHUP is only
/// logged. The log goes to standard output. Problem code unavailable: an
/// address can't be bound.
base::result<base::done> run_entry(
    const settings::entry_config& config, const platform_adapter& adapter);

} // namespace monsoondock::entry
