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

/// An authenticated envelope, or the reason why the input was dropped.
using open_result = std::variant<envelope, drop_reason>;


/// Verifies and decodes the envelopes that a daemon receives: checks the
/// message authentication code and rejects replays. Invalid input is counted
/// by reason and never causes an exception.
class opener
{
public:
    /// Maximum number of senders with a replay window; beyond it the sender
    /// heard from least recently is evicted.
    static constexpr std::size_t max_senders = 2048;


    explicit opener(key_ring keys);


    /// Opens an envelope of at most limit bytes that was sealed for
    /// audience.
    open_result open(
        std::string_view bytes,
        std::string_view audience,
        std::size_t limit,
        base::time_point now);


    /// Replaces the accepted keys.
    void set_keys(key_ring keys);


    const drop_counters& drops() const noexcept
    {
        return drops_;
    }

private:
    struct sender_state
    {
        base::time_point last_received_;
        std::array<replay_window, CHANNEL_COUNT> windows_;
    };

    open_result check(
        std::string_view bytes,
        std::string_view audience,
        std::size_t limit,
        base::time_point now);

    bool is_fresh(const envelope& e, base::time_point now);

    void evict_least_recent_sender();

    key_ring keys_;
    drop_counters drops_;
    std::map<base::daemon_id, sender_state> senders_;
};

} // namespace monsoondock::wire
