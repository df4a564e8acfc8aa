#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/wire/drop_counters.hpp>
#include <monsoondock/wire/envelope.hpp>
#include <monsoondock/wire/key_ring.hpp>
#include <monsoondock/wire/replay_window.hpp>

#include <array>
#include <map>
#include <string_view>
#include <variant>

namespace monsoondock::wire {

/// Either an authentic envelope or the reason why it was dropped.
using opened = std::variant<envelope, drop_reason>;


/// Checks and unwraps received envelopes, drops and counts all others. Never
/// throws on any input.
class opener
{
public:
    /// Largest number of senders that are remembered; the one that was
    /// silent for longest makes room.
    static constexpr std::size_t max_senders = 2048;


    explicit opener(key_ring keys);


    /// Opens an envelope that must not be longer than limit and that must
    /// have been sealed for audience.
    opened open(
        std::string_view bytes,
        std::string_view audience,
        std::size_t limit,
        base::time_point now);


    /// Accepts other keys from now on.
    void set_keys(key_ring keys);


    /// Returns the totals of dropped envelopes.
    const drop_counters& drops() const noexcept
    {
        return drops_;
    }

private:
    struct sender_state
    {
        base::time_point heard_;
        std::array<replay_window, CHANNEL_COUNT> windows_;
    };

    opened check(
        std::string_view bytes,
        std::string_view audience,
        std::size_t limit,
        base::time_point now);

    bool is_fresh(const envelope& e, base::time_point now);

    void make_room();

    key_ring keys_;
    drop_counters drops_;
    std::map<base::daemon_id, sender_state> senders_;
};

} // namespace monsoondock::wire
