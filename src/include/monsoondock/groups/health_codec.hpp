#pragma once

#include <monsoondock/groups/health_messages.hpp>
#include <monsoondock/wire/body_codec.hpp>

#include <string>
#include <variant>

namespace monsoondock::groups {

/// A body of the channel for verdicts.
using health_message = std::variant<health_request, health_reply>;


/// Writes a message. Lists longer than their bounds are cut.
void write(wire::body_writer& out, const health_message& message);


/// Reads a message. Throws std::range_error on an unknown kind or a list that
/// is too long; wire::decode_body catches.
void read(wire::body_reader& in, health_message& message);

} // namespace monsoondock::groups
