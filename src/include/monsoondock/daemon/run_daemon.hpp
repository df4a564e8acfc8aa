#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/settings/daemon_config.hpp>

namespace monsoondock::daemon {

/// Runs a daemon until a planned stop is complete. SIGTERM or SIGINT begins
/// the stop: the daemon leaves the list of entry hosts, goes on accepting for
/// the time that callers may keep that list, finishes the requests in
/// progress and returns. A second signal ends it at once. Problem code
/// unavailable: an address can't be used.
base::result<base::done> run_daemon(const settings::daemon_config& config);

} // namespace monsoondock::daemon
