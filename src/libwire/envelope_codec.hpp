#pragma once

#include <monsoondock/wire/envelope.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::wire::pvt {

/// Encodes the content of an envelope: the fields in cereal's portable binary
/// format, followed by the unmodified body.
std::string encode_envelope(const envelope& e);


/// Decodes the content of an envelope. Returns nothing if it is malformed.
std::optional<envelope> decode_envelope(std::string_view bytes);

} // namespace monsoondock::wire::pvt
