#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace monsoondock::wire {

/// Remembers which of the latest sequence numbers of one sender were seen.
class replay_window
{
public:
    /// Numbers further below the highest one are refused unseen.
    static constexpr std::size_t width = 1024;


    /// Returns true the first time a number of a life comes, false for a
    /// repeated one, one below the window or one of an earlier life.
    bool accept(std::uint64_t boot, std::uint64_t sequence);

private:
    std::uint64_t boot_ = 0;
    std::uint64_t highest_ = 0;
    /// Bit i tells whether highest_ - i was seen.
    std::bitset<width> seen_;
};

} // namespace monsoondock::wire
