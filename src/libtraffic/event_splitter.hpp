#pragma once

#include <string>
#include <string_view>

namespace monsoondock::traffic::pvt {

/// What a server-sent event stream of a completion has delivered so far.
struct stream_progress
{
    /// Events that carried content; a resumed stream begins after these.
    std::uint64_t tokens_ = 0;
    /// True once the closing `[DONE]` event was seen.
    bool done_ = false;
};


/// Cuts a byte stream into whole server-sent events.
struct event_splitter
{
    std::string pending_;
    stream_progress progress_;
};

/// Longest event that an upstream may send, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;


/// Appends bytes and returns all events that are whole by now, counted in
/// the progress. The rest stays pending.
std::string take_events(event_splitter& splitter, std::string_view bytes);

} // namespace monsoondock::traffic::pvt
