#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/relay/crash_tracker.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace monsoondock::relay::pvt {

/// Request that an upstream left without a response until it was given up, or
/// sent elsewhere. The upstream may have stopped responding under it, as a host
/// does that crashes without a reset, or it may just be slow.
struct silent_loss
{
    crash_report report_;
    boost::asio::ip::tcp::endpoint address_;
    /// Process of the upstream to which the request was sent; 0 if not known.
    std::int64_t process_start_ms_ = 0;
    /// When the request was sent or the last event of its response received.
    base::time_point silent_since_;
    base::time_point given_up_at_;
    /// When the last check of the upstream began; the latest time of all when
    /// no further one is wanted.
    base::time_point checked_at_;
    /// When the upstream first responded, or accepted a connection of a check,
    /// after the request was given up; unset before.
    base::time_point responded_at_;
};


/// What is known of the upstream of a silent loss.
enum class silence_state
{
    /// It has responded since, or the loss is too old to blame the request.
    over,
    /// It has not been silent for long, or was checked a moment ago.
    undecided,
    /// It has been silent for so long that it is to be found out whether it has
    /// failed.
    suspicious,
    /// It stayed silent until another process took its place.
    restarted
};


/// Requests that were ended sooner say nothing about their upstream.
inline constexpr std::chrono::milliseconds min_wait{150};


/// An upstream that was silent for less has not failed. Upstreams that are
/// silent for a second are healthy; a request is to be refused three seconds
/// after the third upstream has failed under it, and a check takes one.
inline constexpr std::chrono::milliseconds min_silence{1800};


/// Time between two checks of the same upstream, longer than one takes.
inline constexpr std::chrono::milliseconds silence_check_period{800};


/// Time after which a loss isn't blamed on its request any longer. Hosts that
/// crash are back after some seconds.
inline constexpr std::chrono::milliseconds max_silence_watch{10000};


/// The list of hosts is at most this much later than the first response of a
/// process that has taken the place of another.
inline constexpr std::chrono::milliseconds max_list_delay{1000};


/// Most losses that are watched at the same time; the oldest are dropped.
inline constexpr std::size_t max_silent_losses = 1024;


/// Assesses a loss by the time of the latest response of its upstream to this
/// daemon and by the process that is listed now, 0 when there is none.
silence_state assess_silence(
    const silent_loss& loss,
    base::time_point last_response,
    std::int64_t process_start_ms,
    base::time_point now);

} // namespace monsoondock::relay::pvt
