#pragma once

#include "message.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace monsoondock::membership::pvt {

/// Longest name that travels.
inline constexpr std::size_t MAX_NAME_BYTES = 63;


/// Bytes that one status row takes.
inline constexpr std::size_t ROW_BYTES = 23;


/// Returns the bytes that a record takes in a message.
std::size_t encoded_size(const member_record& record);


/// Returns the bytes of a message in cereal's portable binary form.
std::string encode(const message& m);


/// Reads a message. Returns nothing when it is longer than MAX_BODY_BYTES,
/// cut short, followed by more bytes, or holds a value out of range.
std::optional<message> decode(const std::string& body);

} // namespace monsoondock::membership::pvt
