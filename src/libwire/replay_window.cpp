#include <monsoondock/wire/replay_window.hpp>

namespace monsoondock::wire {

bool replay_window::accept(std::uint64_t incarnation, std::uint64_t sequence)
{
    if (incarnation < incarnation_)
        return false;
    if (incarnation > incarnation_) {
        incarnation_ = incarnation;
        highest_ = 0;
        received_.reset();
    }
    if (sequence > highest_) {
        const std::uint64_t ahead = sequence - highest_;
        received_ = ahead < width ? received_ << ahead : std::bitset<width>();
        received_.set(0);
        highest_ = sequence;
        return true;
    }
    const std::uint64_t behind = highest_ - sequence;
    if (behind >= width || received_.test(behind))
        return false;
    received_.set(behind);
    return true;
}

} // namespace monsoondock::wire
