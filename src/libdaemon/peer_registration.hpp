#pragma once

#include "control_state.hpp"

#include <monsoondock/membership/endpoint.hpp>
#include <monsoondock/membership/incarnation.hpp>
#include <monsoondock/platform/object.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace monsoondock::daemon {

/// Registrations of daemons found in the store.
struct registered_daemons
{
    /// Peer addresses of the other daemons.
    std::vector<membership::endpoint> seeds_;
    /// Version and incarnation of the own object, written by an earlier process
    /// of this daemon.
    std::optional<platform::version> own_version_;
    membership::incarnation own_incarnation_;
};


/// Reads all objects under `daemons/`. Returns nothing when the store does not
/// answer.
boost::asio::awaitable<std::optional<registered_daemons>>
read_registered_daemons(control_state& state);


/// Writes the own object with the incarnation of this process. Retries until
/// the store has it, or has that of a later process.
boost::asio::awaitable<void>
register_daemon(control_state& state, membership::incarnation own);


/// Returns the incarnation for a process that starts now: higher than earlier,
/// the incarnation of the previous process, and at least the wall-clock time in
/// milliseconds since the epoch.
membership::incarnation next_incarnation(membership::incarnation earlier);

} // namespace monsoondock::daemon
