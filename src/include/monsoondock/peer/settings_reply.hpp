#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace monsoondock::peer {

/// Maximum size of the JSON text in a settings_reply.
inline constexpr std::size_t MAX_SETTINGS_BYTES = std::size_t{3} * 1024 * 1024;


/// Reply to a settings_request.
struct settings_reply
{
    /// Revision in force at the replying daemon; 0 if it has none.
    std::uint64_t revision_ = 0;
    /// JSON text of the settings head and its nodes; empty if the requester's
    /// revision is not lower than revision_.
    std::string bundle_json_;
};

} // namespace monsoondock::peer
