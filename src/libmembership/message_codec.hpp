#pragma once

#include "message.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace monsoondock::membership::pvt {

/// Longest name, in bytes, that a message can carry.
inline constexpr std::size_t MAX_NAME_BYTES = 63;


/// Encoded size of one status row.
inline constexpr std::size_t ROW_BYTES = 23;


/// Returns the encoded size of a record in bytes.
std::size_t encoded_size(const member_record& record);


/// Encodes a message in cereal's portable binary format.
std::string encode(const message& m);


/// Decodes a message. Returns nullopt when the body is longer than
/// MAX_BODY_BYTES, truncated, followed by trailing bytes, or contains a value
/// out of range.
std::optional<message> decode(const std::string& body);

} // namespace monsoondock::membership::pvt
