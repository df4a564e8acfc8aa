#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::relay::pvt {

/// Cuts a byte stream into whole server-sent events and follows their ids, so
/// that a stream can go on at another upstream without a gap or a repeat.
struct event_splitter
{
    /// Bytes after the last whole event.
    std::string pending_;
    /// Id of the last event taken; nothing before the first one.
    std::optional<std::uint64_t> last_id_;
    /// True while each id was one above the id before it.
    bool consecutive_ = true;
    /// True once an event was missing; nothing more is returned then.
    bool gap_ = false;
    /// Events taken so far.
    std::uint64_t events_ = 0;
};

/// Longest event that an upstream may send, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;


/// Appends bytes and returns all events that are whole by now. Events whose
/// id is not above the last one are left out.
std::string take_events(event_splitter& splitter, std::string_view bytes);


/// Forgets the incomplete event, before the stream goes on at another
/// upstream.
void restart(event_splitter& splitter);

} // namespace monsoondock::relay::pvt
