#pragma once

#include <monsoondock/groups/verdict_messages.hpp>
#include <monsoondock/wire/body_codec.hpp>

#include <string>
#include <variant>

namespace monsoondock::groups {

/// A body of the channel for verdicts.
using verdict_message = std::variant<verdict_request, verdict_reply>;


/// Writes a message. Lists longer than their bounds are cut.
void write(wire::body_writer& out, const verdict_message& message);


/// Reads a message. Throws std::range_error on an unknown kind or a list that
/// is too long; wire::decode_body catches.
void read(wire::body_reader& in, verdict_message& message);

} // namespace monsoondock::groups
