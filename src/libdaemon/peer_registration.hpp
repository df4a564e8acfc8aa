#pragma once

#include "control_state.hpp"

#include <monsoondock/membership/endpoint.hpp>
#include <monsoondock/membership/incarnation.hpp>
#include <monsoondock/platform/object.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace monsoondock::daemon {

/// What the store tells about daemons at a start.
struct registered_daemons
{
    /// Peer addresses of the other daemons.
    std::vector<membership::endpoint> seeds_;
    /// Version and incarnation of the own object from an earlier life.
    std::optional<platform::version> own_version_;
    membership::incarnation own_incarnation_;
};


/// Reads all objects under `daemons/`. Returns nothing when the store gives no
/// answer.
boost::asio::awaitable<std::optional<registered_daemons>>
read_registered_daemons(control_state& state);


/// Writes the own object with the incarnation of this life, and tries again
/// until it is there or a later life has written it.
boost::asio::awaitable<void>
register_daemon(control_state& state, membership::incarnation own);


/// Returns the incarnation for a life that starts now: above that of the
/// earlier life when known, and not below the wall clock in milliseconds.
membership::incarnation next_incarnation(membership::incarnation earlier);

} // namespace monsoondock::daemon
