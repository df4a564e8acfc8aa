#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/entry/site_adapter.hpp>
#include <monsoondock/settings/entry_config.hpp>

namespace monsoondock::entry {

/// Runs an entry daemon until it is told to stop: it takes callers, relays
/// their requests, and shares the control of replica groups with its peers.
/// SIGTERM stops it gracefully, a second one at once; SIGHUP is logged.
/// Problem code unavailable: an address can't be bound.
base::result<base::done>
run_entry(const settings::entry_config& config, const site_adapter& adapter);

} // namespace monsoondock::entry
