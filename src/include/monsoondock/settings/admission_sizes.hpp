#pragma once

#include <cstdint>

namespace monsoondock::settings {

/// Limits on what one daemon accepts from callers.
struct admission_sizes
{
    /// Largest request body, in bytes.
    std::uint64_t max_body_bytes_ = 0;
    /// Largest request head (start line and header fields), in bytes.
    std::uint64_t max_header_bytes_ = 0;
    /// Maximum number of open caller connections.
    std::uint64_t max_connections_ = 0;
};

} // namespace monsoondock::settings
