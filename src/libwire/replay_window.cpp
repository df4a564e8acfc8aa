#include <monsoondock/wire/replay_window.hpp>

namespace monsoondock::wire {

bool replay_window::accept(std::uint64_t boot, std::uint64_t sequence)
{
    if (boot < boot_)
        return false;
    if (boot > boot_) {
        boot_ = boot;
        highest_ = 0;
        seen_.reset();
    }
    if (sequence > highest_) {
        const std::uint64_t ahead = sequence - highest_;
        seen_ = ahead < width ? seen_ << ahead : std::bitset<width>();
        seen_.set(0);
        highest_ = sequence;
        return true;
    }
    const std::uint64_t behind = highest_ - sequence;
    if (behind >= width || seen_.test(behind))
        return false;
    seen_.set(behind);
    return true;
}

} // namespace monsoondock::wire
