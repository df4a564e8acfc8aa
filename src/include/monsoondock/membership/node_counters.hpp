#pragma once

#include <cstdint>

namespace monsoondock::membership {

/// Totals since the node was created.
struct node_counters
{
    std::uint64_t datagrams_sent_ = 0;
    std::uint64_t datagrams_handled_ = 0;
    /// Datagrams whose body could not be decoded.
    std::uint64_t datagrams_malformed_ = 0;
    std::uint64_t probes_ = 0;
    std::uint64_t probes_failed_ = 0;
    std::uint64_t refutations_ = 0;
    std::uint64_t pauses_ = 0;
};

} // namespace monsoondock::membership
