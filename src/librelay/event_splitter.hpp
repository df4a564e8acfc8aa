#pragma once

#include <monsoondock/base/stream_join.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace monsoondock::relay::pvt {

/// Splits a byte stream into complete server-sent events, those of all runs of
/// a stream. base::stream_join decides which of them are returned.
struct event_splitter
{
    /// Bytes of the incomplete event at the end.
    std::string pending_;
    /// Where the last line of pending_ begins.
    std::size_t line_begin_ = 0;
    /// Bytes of pending_ that have been searched for the end of that line.
    std::size_t searched_ = 0;
    base::stream_join join_;
    /// True once the header of another response has come in place of an event;
    /// no more events are returned then.
    bool has_second_response_ = false;
    /// Number of events received, and of those left out as the receiver has
    /// them; the latter without those of the present run.
    std::uint64_t events_ = 0;
    std::uint64_t left_out_ = 0;
};

/// Maximum size of an incomplete event, in bytes. An upstream that sends more
/// without completing it sends no event.
inline constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;


/// Returns true when a block of lines is no event, but has the header of
/// another response at its end.
using response_check = std::function<bool(std::string_view block)>;


/// Appends bytes and returns all events that are complete and that the receiver
/// is to get; see base::accept_event.
std::string extract_events(
    event_splitter& splitter,
    std::string_view bytes,
    const response_check& has_response = {});


/// Returns true when the bytes received end inside an event. Comments are not
/// part of an event.
bool ends_inside_event(const event_splitter& splitter);


/// Discards the incomplete event, before another run of the stream; see
/// base::begin_run.
void begin_run(event_splitter& splitter);


/// Returns the number of events that were left out.
std::uint64_t left_out(const event_splitter& splitter);


/// Returns true when the text has an event that is complete and is more than a
/// comment.
bool contains_event(std::string_view text);


/// Returns the incomplete event and removes it from the splitter.
std::string take_partial_event(event_splitter& splitter);


/// Goes on with an earlier run and the bytes of its incomplete event, in place
/// of those that the splitter has. The receiver has got no events since.
void restore_run(
    event_splitter& splitter, base::run_join run, std::string partial_event);

} // namespace monsoondock::relay::pvt
