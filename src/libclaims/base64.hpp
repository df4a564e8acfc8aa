#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::claims::pvt {

/// Returns the base64 text of bytes, padded, without line breaks.
std::string encode_base64(std::string_view bytes);


/// Returns the bytes of padded base64 text, or nothing when it is not such.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace monsoondock::claims::pvt
