#pragma once

#include <monsoondock/base/stream_join.hpp>

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


/// Splits a byte stream into complete server-sent events, those of all runs of
/// a stream. base::stream_join decides which of them are returned. The events
/// need no ids: each run says after how many events with content it begins, so
/// that these are numbered from 1.
struct event_splitter
{
    event_splitter();

    std::string pending_;
    /// Bytes of pending_ that have been searched for the end of an event.
    std::size_t searched_ = 0;
    stream_progress progress_;
    base::stream_join join_;
    /// Number of the last event with content that the present run has sent.
    std::uint64_t run_tokens_ = 0;
};

/// Longest event that an upstream may send, in bytes.
inline constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;


/// Appends bytes, returns the complete events that the caller is to get and
/// adds them to the progress. An incomplete event stays pending. Bytes after
/// the closing event are dropped.
std::string take_events(event_splitter& splitter, std::string_view bytes);


/// Discards the incomplete event, before another run that was asked to begin
/// after progress_.tokens_.
void begin_run(event_splitter& splitter);

} // namespace monsoondock::traffic::pvt
