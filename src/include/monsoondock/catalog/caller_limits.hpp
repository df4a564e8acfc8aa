#pragma once

#include <chrono>
#include <cstddef>

namespace monsoondock::catalog {

/// Limits on the size and duration of callers' requests.
struct caller_limits
{
    std::size_t max_header_bytes_ = std::size_t{16} * 1024;
    std::size_t max_body_bytes_ = std::size_t{4} * 1024 * 1024;
    /// Time allowed from the first byte of a request to the end of its header.
    std::chrono::milliseconds header_timeout_{3000};
    /// Time that a connection may stay open without a request.
    std::chrono::milliseconds idle_timeout_{15000};
};

} // namespace monsoondock::catalog
