#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace monsoondock::wire {

/// Sliding window that detects repeated sequence numbers from one sender.
class replay_window
{
public:
    /// Size of the window in sequence numbers. A number this far or further
    /// below the highest one received is rejected, as it can't be checked.
    static constexpr std::size_t width = 1024;


    /// Returns true the first time a sequence number of an incarnation is
    /// received, false for a repeated one, one below the window or one from
    /// an earlier incarnation.
    bool accept(std::uint64_t incarnation, std::uint64_t sequence);

private:
    std::uint64_t incarnation_ = 0;
    std::uint64_t highest_ = 0;
    /// Bit i is set if highest_ - i was received.
    std::bitset<width> received_;
};

} // namespace monsoondock::wire
