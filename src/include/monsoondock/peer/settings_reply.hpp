#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace monsoondock::peer {

/// Longest text of a settings_reply.
inline constexpr std::size_t MAX_SETTINGS_BYTES = std::size_t{3} * 1024 * 1024;


/// Answers a settings_request.
struct settings_reply
{
    /// Revision in force at the daemon that answers; 0 for none.
    std::uint64_t revision_ = 0;
    /// JSON text of the head and its nodes; empty when the asker has no lower
    /// revision than the daemon that answers.
    std::string bundle_json_;
};

} // namespace monsoondock::peer
