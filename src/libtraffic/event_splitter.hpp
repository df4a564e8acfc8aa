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
    stream_progress progress_;
};

/// Longest event that an upstream may send, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;


/// Appends bytes, returns all complete events and adds them to the progress. An
/// incomplete event stays pending.
std::string take_events(event_splitter& splitter, std::string_view bytes);

} // namespace monsoondock::traffic::pvt
