#pragma once

#include <monsoondock/platform/change.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::entry::pvt {

/// Position in the change log of one run of a daemon.
struct host_log_position
{
    /// Identifies the run of the daemon; empty when no position is known.
    std::string source_;
    std::uint64_t sequence_ = 0;

    friend bool
    operator==(const host_log_position&, const host_log_position&) = default;
};


/// Returns true when a daemon that has applied changes up to one position of a
/// peer's log lacks some up to another. A position of another run of the peer
/// tells nothing about the changes applied.
inline bool
lacks_changes(const host_log_position& applied, const host_log_position& up_to)
{
    return applied.source_ != up_to.source_ ||
           applied.sequence_ < up_to.sequence_;
}


/// Bounded log of host entry changes in the order in which a daemon applied
/// them, for peers that follow the daemon instead of watching the store.
class host_change_log
{
public:
    /// Number of changes kept. A peer that is further behind is sent all
    /// entries of the digest buckets that differ.
    static constexpr std::size_t max_changes = 2000;


    void add(platform::change c);


    /// Returns the sequence number of the latest change, 0 if there is none.
    std::uint64_t sequence() const noexcept
    {
        return sequence_;
    }


    /// Returns the changes after a sequence number, or nothing when some of
    /// them are no longer kept or the number is higher than the latest one.
    std::optional<std::vector<platform::change>>
    after(std::uint64_t sequence) const;

private:
    std::uint64_t sequence_ = 0;
    std::deque<platform::change> changes_;
};

} // namespace monsoondock::entry::pvt
