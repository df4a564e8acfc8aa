#pragma once

#include <monsoondock/platform/change.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::entry::pvt {

/// Position in the log of changes of one life of a daemon.
struct feed_position
{
    /// Names the daemon's life; empty before the first position.
    std::string source_;
    std::uint64_t sequence_ = 0;

    friend bool
    operator==(const feed_position&, const feed_position&) = default;
};


/// Changes of host entries in the order in which a daemon took them, for the
/// peers that follow it instead of watching the store.
class host_log
{
public:
    /// Changes kept; a peer that is further behind takes all entries.
    static constexpr std::size_t max_changes = 2000;


    /// Appends a change.
    void add(platform::change c);


    /// Returns the number of the latest change.
    std::uint64_t sequence() const noexcept
    {
        return sequence_;
    }


    /// Returns the changes after a number, or nothing when they are not kept.
    std::optional<std::vector<platform::change>>
    after(std::uint64_t sequence) const;

private:
    std::uint64_t sequence_ = 0;
    std::deque<platform::change> changes_;
};

} // namespace monsoondock::entry::pvt
