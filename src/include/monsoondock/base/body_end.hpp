#pragma once

#include <monsoondock/base/body_framing.hpp>
#include <monsoondock/base/stream_join.hpp>

#include <chrono>
#include <string_view>

namespace monsoondock::base {

/// What is known of the host of a response that ended with its connection.
enum class host_check
{
    not_made,
    /// The host accepted a connection after that end; if that one was reset, a
    /// further one.
    accepts,
    /// It refused one, or did not answer in time.
    gone,
    /// The check was stopped.
    unknown
};


/// How long an accepted connection has to stay open to show that the host
/// lives. The kernel may end the connections of a killed process before its
/// listener, and then resets those that the listener has accepted meanwhile; a
/// host may also reset connections because it has too many.
inline constexpr std::chrono::milliseconds host_check_time{50};


/// Evidence of how the body of a response ended.
struct body_end
{
    body_framing framing_ = body_framing::none;
    /// The body ended as its framing says: by its length, by the last chunk, or
    /// with a connection that was closed in order and has not failed.
    bool as_framed_ = false;
    /// A stream ended inside an event, or before its first one.
    bool inside_event_ = false;
    /// Why a resumed stream does not go on behind what its caller has.
    join_failure join_ = join_failure::none;
    /// The events of the stream tell its end, and it came.
    bool has_closing_event_ = false;
    /// Another response follows on the connection where the body has no end of
    /// its own.
    bool second_response_ = false;
    host_check host_ = host_check::not_made;
};


/// What becomes of a response whose body has ended.
enum class end_verdict
{
    /// It may be passed on as complete.
    complete,
    broken_off,
    /// The host has to be checked: a process that is killed closes its
    /// connections in order, and its listener with them.
    unconfirmed
};


/// Decides whether a body is complete, for all that pass one on. Nothing may
/// announce a length or send a last chunk for a body that is not.
end_verdict judge(const body_end& end) noexcept;


/// Returns the reason of a verdict other than complete as it appears in logs.
std::string_view reason_of(const body_end& end) noexcept;

} // namespace monsoondock::base
