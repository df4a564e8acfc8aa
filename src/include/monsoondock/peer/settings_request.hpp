#pragma once

#include <cstdint>

namespace monsoondock::peer {

/// Asks a daemon for the settings that it has in force.
struct settings_request
{
    /// Revision that the asker has; the answer is empty when the daemon that
    /// is asked has no higher one.
    std::uint64_t known_revision_ = 0;
};

} // namespace monsoondock::peer
