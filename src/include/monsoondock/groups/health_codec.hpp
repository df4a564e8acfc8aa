#pragma once

#include <monsoondock/groups/health_messages.hpp>
#include <monsoondock/wire/body_codec.hpp>

#include <string>
#include <variant>

namespace monsoondock::groups {

/// Message body of the channel for group health.
using health_message = std::variant<health_request, health_reply>;


/// Writes a message. Lists longer than their limits are truncated.
void write(wire::body_writer& out, const health_message& message);


/// Reads a message. Throws std::range_error on an unknown kind or a list above
/// its limit; wire::decode_body catches it.
void read(wire::body_reader& in, health_message& message);

} // namespace monsoondock::groups
