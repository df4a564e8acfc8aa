#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/settings/daemon_config.hpp>

namespace monsoondock::daemon {

/// Runs a daemon until it has shut down. SIGTERM or SIGINT starts a graceful
/// shutdown: the daemon leaves the list of entry hosts, keeps accepting
/// connections for the time that callers may cache that list
/// (timeouts.entry_host_ttl), waits up to timeouts.shutdown for the requests in
/// progress, ends those that remain and returns. Further stop signals are only
/// logged. Fails with problem code unavailable when an address can't be bound,
/// and with invalid_argument when the peer or caller address is not an IPv4
/// address.
base::result<base::done> run_daemon(const settings::daemon_config& config);

} // namespace monsoondock::daemon
