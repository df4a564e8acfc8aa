#pragma once

#include <monsoondock/wire/envelope.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::wire::pvt {

/// Returns the bytes of an envelope's content: cereal's portable binary form
/// of the fields, and the body as it is.
std::string encode_envelope(const envelope& e);


/// Reads the content of an envelope. Returns nothing when it is malformed.
std::optional<envelope> decode_envelope(std::string_view bytes);

} // namespace monsoondock::wire::pvt
