#pragma once

#include <string>
#include <string_view>

namespace monsoondock::traffic::pvt {

/// Progress of the server-sent event stream of a completion.
struct stream_progress
{
    /// Number of events with content; a resumed stream starts after them.
    std::uint64_t tokens_ = 0;
    /// True once the closing `[DONE]` event was seen.
    bool done_ = false;
};


/// Splits a byte stream into complete server-sent events.
struct event_splitter
{
    std::string pending_;
    /// Bytes of pending_ that have been searched for the end of an event.
    std::size_t searched_ = 0;
    stream_progress progress_;
};

/// Longest event that an upstream may send, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;


/// Appends bytes, returns all complete events and adds them to the progress. An
/// incomplete event stays pending. Bytes after the closing event are dropped.
std::string take_events(event_splitter& splitter, std::string_view bytes);


/// Discards the incomplete event.
void discard_partial_event(event_splitter& splitter);

} // namespace monsoondock::traffic::pvt
