#pragma once

#include <cstdint>

namespace monsoondock::engine_standin {

/// Counters of one host since its process started.
struct counts
{
    /// Requests that got a slot.
    std::uint64_t started_ = 0;
    /// Requests whose complete response was sent.
    std::uint64_t finished_ = 0;
    /// Queued or running requests that ended without a complete response.
    std::uint64_t cancelled_ = 0;
    std::uint64_t tokens_ = 0;
    /// Orders carried out, including repeated ones.
    std::uint64_t orders_ = 0;
    /// Orders and requests rejected with status 409 or 503.
    std::uint64_t refused_ = 0;
    std::uint64_t prefix_hits_ = 0;
};

} // namespace monsoondock::engine_standin
