#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::base {

/// What the id fields of a server-sent event say.
enum class event_id_form
{
    /// The event has none.
    missing,
    /// One, with a decimal number of at most 64 bits.
    number,
    /// One with any other value, or several.
    invalid
};


/// A server-sent event as far as its place in a stream depends on it.
struct stream_event
{
    event_id_form id_form_ = event_id_form::missing;
    std::uint64_t id_ = 0;
    /// The id as it was sent.
    std::string id_text_;
    /// True when the event has a data field.
    bool has_data_ = false;
    /// Hash of all lines but the id fields.
    std::uint64_t content_ = 0;
};


/// Returns the number in the value of an id field, or nullopt when it is no
/// decimal number of at most 64 bits.
std::optional<std::uint64_t> parse_event_id(std::string_view value);


/// Reads the lines of one event, as the HTML standard (server-sent events)
/// delimits them. Lines end with a line feed, which a carriage return may
/// precede.
stream_event read_event(std::string_view text);


/// Returns true for an event with an id or data; all else, such as a comment,
/// has no place in a stream.
bool has_place(const stream_event& event) noexcept;

} // namespace monsoondock::base
