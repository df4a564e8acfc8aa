#pragma once

#include <cstdint>

namespace monsoondock::peer {

/// Request for the settings in force at a daemon.
struct settings_request
{
    /// Revision that the requester has. The reply contains settings only if the
    /// replying daemon has a higher one.
    std::uint64_t known_revision_ = 0;
};

} // namespace monsoondock::peer
